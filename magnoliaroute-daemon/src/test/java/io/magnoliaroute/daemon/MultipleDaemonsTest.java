package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that daemons with a common log serve each other's programs. */
final class MultipleDaemonsTest {

  private static final int MIN_PROGRAMS = 8;
  // Program ids are random; with four partitions, it is practically impossible that one daemon owns
  // none of these programs.
  private static final int MAX_PROGRAMS = 100;

  private DaemonTestEnvironment environment;

  @BeforeEach
  void startEnvironment() {
    environment = DaemonTestEnvironment.withFastEngines();
  }

  @AfterEach
  void closeEnvironment() {
    environment.close();
  }

  /** Guards against tests that send all requests to one daemon although they start two. */
  @Test
  void daemonsOfOneProcessListenOnTheirOwnPorts() {
    Daemon first = environment.startDaemon("vm-1");
    Daemon second = environment.startDaemon("vm-2");
    assertNotEquals(first.httpPort(), second.httpPort());
    assertEquals(
        "vm-2",
        DaemonTestEnvironment.operatorClient(second)
            .get("/admin/v1/status")
            .bodyAsJson()
            .getString("vm"));
  }

  /** Guards against a program that only the VM on which it was started can continue (G1, G2). */
  @Test
  void programsBegunAtOneDaemonAreContinuedAtTheOther() {
    Daemon first = environment.startDaemon("vm-1");
    Daemon second = environment.startDaemon("vm-2");
    environment.awaitMembership();
    DaemonClient firstClient = DaemonTestEnvironment.shopClient(first);
    DaemonClient secondClient = DaemonTestEnvironment.shopClient(second);
    String turnCounter = "requests{kind=\"turn\"}";
    int programs = 0;
    while (programs < MIN_PROGRAMS
        || !(first.metrics().counterValue(turnCounter) > 0)
        || !(second.metrics().counterValue(turnCounter) > 0)) {
      assertTrue(++programs <= MAX_PROGRAMS, "one daemon has served no turn");
      String program = firstClient.startProgram();
      DaemonClient.Response firstTurn = secondClient.runTurn(program, "one", false);
      assertEquals("done", firstTurn.outcome(), firstTurn.body());
      DaemonClient.Response secondTurn = firstClient.runTurn(program, "two", true);
      assertTrue(secondTurn.body().contains("\"turn\":1"), secondTurn.body());
      DaemonClient.Response payment =
          secondClient.executeAction(program, "capture_payment", "key", 5_000);
      assertEquals("done", payment.outcome(), payment.body());
      DaemonClient.Response repeatedPayment =
          firstClient.executeAction(program, "capture_payment", "key", 5_000);
      assertEquals("done", repeatedPayment.outcome(), repeatedPayment.body());
      assertEquals(1, environment.service().executionsOf(program + "/key"));
      JsonObject history = secondClient.get("/v1/programs/" + program + "/history").bodyAsJson();
      assertEquals(4, history.getJsonArray("messages").size());
    }
    assertEquals(
        programs, firstClient.get("/v1/programs").bodyAsJson().getJsonArray("programs").size());
    assertEquals(
        programs, secondClient.get("/v1/programs").bodyAsJson().getJsonArray("programs").size());
  }

  /** Guards against a VM that starts during an outage of the log and remains unconfigured. */
  @Test
  void aDaemonThatStartsWhileTheLogIsDownTakesSettingsFromPeers() {
    environment.startDaemon("vm-1");
    environment.log().setOutage(true);
    Daemon newDaemon = environment.startDaemon("vm-2");
    assertEquals(
        200,
        DaemonTestEnvironment.operatorClient(newDaemon)
            .get("/admin/v1/config/teams%2Fshop")
            .status());
    environment.log().setOutage(false);
    environment.awaitMembership();
    DaemonClient client = DaemonTestEnvironment.shopClient(newDaemon);
    Await.until(
        "the new daemon considers both daemons alive",
        () -> newDaemon.peers().view().owners().size() == 2);
    assertEquals("done", client.post("/v1/programs", new JsonObject()).outcome());
  }

  /** Guards against a configuration change that only the VM that accepted it applies (G10). */
  @Test
  void aPublishedBranchIsInForceAtTheOtherDaemon() {
    Daemon first = environment.startDaemon("vm-1");
    Daemon second = environment.startDaemon("vm-2");
    environment.awaitMembership();
    DaemonClient.Response published =
        DaemonTestEnvironment.operatorClient(first)
            .post(
                "/admin/v1/config/limits",
                new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: 20000\n"));
    assertEquals(200, published.status(), published.body());
    Await.until("the second daemon has applied the limit", () -> second.drainTimeoutMs() == 20_000);
  }
}
