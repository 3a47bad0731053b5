package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.budget.BudgetAvailability;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which requests are served and which are refused during an outage of the log. */
final class LogOutageTest {

  private static final long AVAILABLE_UNITS = 1_000;

  private DaemonTestEnvironment environment;
  private Daemon daemon;
  private DaemonClient client;

  @BeforeEach
  void startEnvironment() {
    environment = DaemonTestEnvironment.withFastEngines();
    daemon = environment.startDaemon("vm-1");
    client = DaemonTestEnvironment.shopClient(daemon);
  }

  @AfterEach
  void closeEnvironment() {
    environment.close();
  }

  /** Guards against turns that fail during the outage or are lost after it (G2). */
  @Test
  void turnsGoOnUnloggedAndAreLoggedAfterwards() {
    makeBudgetAvailable();
    String program = client.startProgram();
    assertEquals("logged", client.runTurn(program, "one", false).bodyAsJson().getString("history"));
    environment.log().setOutage(true);
    DaemonClient.Response second = client.runTurn(program, "two", false);
    assertEquals("done", second.outcome(), second.body());
    assertEquals("unlogged", second.bodyAsJson().getString("history"));
    assertEquals(
        "unlogged", client.runTurn(program, "three", false).bodyAsJson().getString("history"));
    environment.log().setOutage(false);
    Await.until("all turns are logged", () -> loggedTurnCount(program) == 3);
    JsonObject history = client.get("/v1/programs/" + program + "/history").bodyAsJson();
    assertEquals(6, history.getJsonArray("messages").size());
  }

  /** Guards against unlogged history that grows without limit during an outage. */
  @Test
  void turnsPastTheUnloggedLimitAreRefusedAsNotRun() {
    makeBudgetAvailable();
    String program = client.startProgram();
    environment.log().setOutage(true);
    DaemonClient.Response response = client.runTurn(program, "turn 0", false);
    for (int i = 1; i < 10 && response.status() == 200; i++) {
      response = client.runTurn(program, "turn " + i, false);
    }
    assertEquals("unlogged_limit", response.problemCode());
    assertEquals("not_run", response.outcome());
    assertEquals("1", response.retryAfter());
    environment.log().setOutage(false);
  }

  /** Guards against a payment that is sent before its intent is logged (G6, G7). */
  @Test
  void nonIdempotentActionsAreRefusedAsNotRunAtTheirDeadline() {
    String program = client.startProgram();
    environment.log().setOutage(true);
    DaemonClient.Response withoutKey =
        client.executeAction(program, "capture_payment", null, 1_000);
    assertEquals("not_run", withoutKey.outcome(), withoutKey.body());
    // An action with a client's own key may have run under another owner; only the log shows it.
    DaemonClient.Response withKey = client.executeAction(program, "capture_payment", "pay", 1_000);
    assertEquals("unknown", withKey.outcome(), withKey.body());
    assertEquals("key_not_verified", withKey.bodyAsJson().getString("reason"));
    assertEquals(0, environment.service().totalExecutions());
    environment.log().setOutage(false);
    DaemonClient.Response afterOutage =
        client.executeAction(program, "capture_payment", "pay", 8_000);
    assertEquals("done", afterOutage.outcome(), afterOutage.body());
    assertEquals(1, environment.service().executionsOf(program + "/pay"));
  }

  /** Guards against an append that takes effect after its timeout and repeats the action (G7). */
  @Test
  void anIntentThatLandsAfterItsTimeoutRunsAtMostOnce() {
    String program = client.startProgram();
    environment.log().delayNextAppends(1);
    DaemonClient.Response first = client.executeAction(program, "capture_payment", "late", 6_000);
    assertEquals("done", first.outcome(), first.body());
    environment.log().applyDelayedAppends();
    DaemonClient.Response second = client.executeAction(program, "capture_payment", "late", 6_000);
    assertEquals("done", second.outcome(), second.body());
    assertEquals(1, environment.service().executionsOf(program + "/late"));
  }

  /**
   * Runs turns until the VM holds available budget. During an outage, it can spend only the budget
   * that it holds already.
   */
  private void makeBudgetAvailable() {
    String warmUp = client.startProgram();
    for (int i = 0; i < 3; i++) {
      assertEquals("done", client.runTurn(warmUp, "word ".repeat(1_000) + i, false).outcome());
    }
    Await.until(
        "the VM holds available budget",
        () ->
            daemon.budgets().availability(new TeamId("shop"), AVAILABLE_UNITS)
                == BudgetAvailability.READY);
  }

  private long loggedTurnCount(String program) {
    return client
        .get("/v1/programs/" + program + "/history")
        .bodyAsJson()
        .getJsonArray("turns")
        .stream()
        .filter(turn -> ((JsonObject) turn).getBoolean("logged"))
        .count();
  }
}
