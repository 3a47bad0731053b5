package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.budget.BudgetAvailability;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What goes on and what is refused while the platform's log is down. */
final class LogOutageTest {

  private static final long OPEN_UNITS = 1_000;

  private TestWorld world;
  private Daemon daemon;
  private Caller caller;

  @BeforeEach
  void startWorld() {
    world = TestWorld.fast();
    daemon = world.startDaemon("vm-1");
    caller = TestWorld.caller(daemon);
  }

  @AfterEach
  void closeWorld() {
    world.close();
  }

  /** Guards against model turns that stop with the log, and against history lost after it (G2). */
  @Test
  void turnsGoOnUnloggedAndAreLoggedAfterwards() {
    openBudget();
    String program = caller.startProgram();
    assertEquals("logged", caller.turn(program, "one", false).json().getString("history"));
    world.log().setOutage(true);
    Caller.Reply two = caller.turn(program, "two", false);
    assertEquals("done", two.outcome(), two.text());
    assertEquals("unlogged", two.json().getString("history"));
    assertEquals("unlogged", caller.turn(program, "three", false).json().getString("history"));
    world.log().setOutage(false);
    Await.until("turns are logged", () -> loggedTurns(program) == 3);
    JsonObject history = caller.get("/v1/programs/" + program + "/history").json();
    assertEquals(6, history.getJsonArray("messages").size());
  }

  /** Guards against history that grows without bound while the log is down. */
  @Test
  void turnsPastTheUnloggedLimitAreRefusedAsNotRun() {
    openBudget();
    String program = caller.startProgram();
    world.log().setOutage(true);
    Caller.Reply reply = caller.turn(program, "turn 0", false);
    for (int i = 1; i < 10 && reply.status() == 200; i++) {
      reply = caller.turn(program, "turn " + i, false);
    }
    assertEquals("unlogged_limit", reply.code());
    assertEquals("not_run", reply.outcome());
    assertEquals("1", reply.retryAfter());
    world.log().setOutage(false);
  }

  /** Guards against a payment that is sent without its intent in the log (G6, G7). */
  @Test
  void nonIdempotentActionsAreRefusedAsNotRunAtTheirDeadline() {
    String program = caller.startProgram();
    world.log().setOutage(true);
    Caller.Reply fresh = caller.action(program, "capture_payment", null, 1_000);
    assertEquals("not_run", fresh.outcome(), fresh.text());
    // A key that the caller chose may have run under another owner, which only the log can tell.
    Caller.Reply named = caller.action(program, "capture_payment", "pay", 1_000);
    assertEquals("unknown", named.outcome(), named.text());
    assertEquals("key_not_verified", named.json().getString("reason"));
    assertEquals(0, world.service().totalExecutions());
    world.log().setOutage(false);
    Caller.Reply after = caller.action(program, "capture_payment", "pay", 8_000);
    assertEquals("done", after.outcome(), after.text());
    assertEquals(1, world.service().executionsOf(program + "/pay"));
  }

  /** Guards against an append that lands after its timeout and runs the action late (G7). */
  @Test
  void anIntentThatLandsAfterItsTimeoutRunsAtMostOnce() {
    String program = caller.startProgram();
    world.log().delayNextAppends(1);
    Caller.Reply first = caller.action(program, "capture_payment", "late", 6_000);
    assertEquals("done", first.outcome(), first.text());
    world.log().landLateAppends();
    Caller.Reply second = caller.action(program, "capture_payment", "late", 6_000);
    assertEquals("done", second.outcome(), second.text());
    assertEquals(1, world.service().executionsOf(program + "/late"));
  }

  /** Makes calls that leave opened budget behind, because a VM spends no other in an outage. */
  private void openBudget() {
    String warmUp = caller.startProgram();
    for (int i = 0; i < 3; i++) {
      assertEquals("done", caller.turn(warmUp, "word ".repeat(1_000) + i, false).outcome());
    }
    Await.until(
        "budget is open",
        () ->
            daemon.budgets().availability(new TeamId("shop"), OPEN_UNITS)
                == BudgetAvailability.READY);
  }

  private long loggedTurns(String program) {
    return caller.get("/v1/programs/" + program + "/history").json().getJsonArray("turns").stream()
        .filter(turn -> ((JsonObject) turn).getBoolean("logged"))
        .count();
  }
}
