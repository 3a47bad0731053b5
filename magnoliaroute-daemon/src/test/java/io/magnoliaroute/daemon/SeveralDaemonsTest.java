package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Daemons that share a log serve each other's programs. */
final class SeveralDaemonsTest {

  private static final int MIN_PROGRAMS = 8;
  // Ids are random: with four partitions, the chance that one daemon gets none of these is nil.
  private static final int MAX_PROGRAMS = 100;

  private TestWorld world;

  @BeforeEach
  void startWorld() {
    world = TestWorld.fast();
  }

  @AfterEach
  void closeWorld() {
    world.close();
  }

  /** Guards against tests that reach one daemon where they mean two. */
  @Test
  void daemonsOfOneProcessListenOnTheirOwnPorts() {
    Daemon first = world.startDaemon("vm-1");
    Daemon second = world.startDaemon("vm-2");
    assertNotEquals(first.httpPort(), second.httpPort());
    assertEquals("vm-2", TestWorld.operator(second).get("/admin/v1/status").json().getString("vm"));
  }

  /** Guards against a program that only the VM it began at can continue (G1, G2). */
  @Test
  void programsBegunAtOneDaemonAreContinuedAtTheOther() {
    Daemon first = world.startDaemon("vm-1");
    Daemon second = world.startDaemon("vm-2");
    world.awaitMembership();
    Caller atFirst = TestWorld.caller(first);
    Caller atSecond = TestWorld.caller(second);
    String turns = "requests{kind=\"turn\"}";
    int programs = 0;
    while (programs < MIN_PROGRAMS
        || !(first.metrics().countOf(turns) > 0)
        || !(second.metrics().countOf(turns) > 0)) {
      assertTrue(++programs <= MAX_PROGRAMS, "one daemon owns no partition of any program");
      String program = atFirst.startProgram();
      Caller.Reply one = atSecond.turn(program, "one", false);
      assertEquals("done", one.outcome(), one.text());
      Caller.Reply two = atFirst.turn(program, "two", true);
      assertTrue(two.text().contains("\"turn\":1"), two.text());
      Caller.Reply paid = atSecond.action(program, "capture_payment", "key", 5_000);
      assertEquals("done", paid.outcome(), paid.text());
      Caller.Reply paidAgain = atFirst.action(program, "capture_payment", "key", 5_000);
      assertEquals("done", paidAgain.outcome(), paidAgain.text());
      assertEquals(1, world.service().executionsOf(program + "/key"));
      JsonObject history = atSecond.get("/v1/programs/" + program + "/history").json();
      assertEquals(4, history.getJsonArray("messages").size());
    }
    assertEquals(programs, atFirst.get("/v1/programs").json().getJsonArray("programs").size());
    assertEquals(programs, atSecond.get("/v1/programs").json().getJsonArray("programs").size());
  }

  /** Guards against a VM that starts during an outage of the log and stays without settings. */
  @Test
  void aDaemonThatStartsWhileTheLogIsDownTakesSettingsFromPeers() {
    world.startDaemon("vm-1");
    world.log().setOutage(true);
    Daemon fresh = world.startDaemon("vm-2");
    assertEquals(200, TestWorld.operator(fresh).get("/admin/v1/config/teams%2Fshop").status());
    world.log().setOutage(false);
    world.awaitMembership();
    Caller caller = TestWorld.caller(fresh);
    Await.until("programs start after the outage", () -> fresh.peers().view().owners().size() == 2);
    assertEquals("done", caller.post("/v1/programs", new JsonObject()).outcome());
  }

  /** Guards against a change of settings that reaches only the VM that took it (G10). */
  @Test
  void aPublishedBranchIsInForceAtTheOtherDaemon() {
    Daemon first = world.startDaemon("vm-1");
    Daemon second = world.startDaemon("vm-2");
    world.awaitMembership();
    Caller.Reply published =
        TestWorld.operator(first)
            .post(
                "/admin/v1/config/limits",
                new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: 20000\n"));
    assertEquals(200, published.status(), published.text());
    Await.until("the limit is in force", () -> second.drainTimeoutMs() == 20_000);
  }
}
