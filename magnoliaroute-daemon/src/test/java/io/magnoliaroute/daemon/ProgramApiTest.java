package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the HTTP interface of a single daemon, from the start of a program to its end. */
final class ProgramApiTest {

  private static final int MAX_PROGRAMS = 100;

  private static DaemonTestEnvironment environment;
  private static Daemon daemon;
  private static DaemonClient client;

  @BeforeAll
  static void startEnvironment() {
    environment = DaemonTestEnvironment.withFastEngines();
    daemon = environment.startDaemon("vm-1");
    client = DaemonTestEnvironment.shopClient(daemon);
  }

  @AfterAll
  static void closeEnvironment() {
    environment.close();
  }

  /** Guards against turns, actions or history that are lost between components of the daemon. */
  @Test
  void aWholeProgramRunsFromStartToEnd() {
    String program = client.startProgram();
    DaemonClient.Response first = client.runTurn(program, "plan the day", false);
    assertEquals("done", first.outcome(), first.body());
    assertEquals("logged", first.bodyAsJson().getString("history"));
    DaemonClient.Response second = client.runTurn(program, "and the evening", true);
    assertTrue(second.body().contains("\"outcome\":\"done\""), second.body());
    assertTrue(second.body().endsWith("data: [DONE]\n\n"), second.body());
    String child =
        client
            .post("/v1/programs", new JsonObject().put("parent", program))
            .bodyAsJson()
            .getString("program");
    assertEquals("done", client.runTurn(child, "help with one part", false).outcome());
    DaemonClient.Response action =
        client.executeAction(program, "capture_payment", "order-1", 5_000);
    assertEquals("done", action.outcome(), action.body());
    assertEquals(
        "done", client.post("/v1/programs/" + program + "/end", new JsonObject()).outcome());
    JsonObject history = client.get("/v1/programs/" + program + "/history").bodyAsJson();
    assertEquals(2, history.getJsonArray("turns").size());
    assertEquals(4, history.getJsonArray("messages").size());
    assertEquals("program_ended", client.runTurn(program, "more", false).problemCode());
  }

  /** Guards against engine cache entries that remain after their program has ended (G4). */
  @Test
  void theEngineMemoryOfAnEndedProgramIsReleased() {
    String program = client.startProgram();
    assertEquals("done", client.runTurn(program, "remember this", false).outcome());
    assertTrue(isCached(program));
    client.post("/v1/programs/" + program + "/end", new JsonObject());
    Await.until("the cache entry is released", () -> !isCached(program));
  }

  private static boolean isCached(String program) {
    return environment.engine(0).cachedKeys().contains(program)
        || environment.engine(1).cachedKeys().contains(program);
  }

  @Nested
  final class WhenRequestsAreRepeated {

    /** Guards against a second execution for the same idempotency key (G7). */
    @Test
    void aRepeatedActionGetsTheRecordedResultAndRunsOnce() {
      String program = client.startProgram();
      DaemonClient.Response first =
          client.executeAction(program, "capture_payment", "pay-1", 5_000);
      DaemonClient.Response second =
          client.executeAction(program, "capture_payment", "pay-1", 5_000);
      assertEquals("done", first.outcome(), first.body());
      assertEquals("done", second.outcome(), second.body());
      assertEquals(1, environment.service().executionsOf(program + "/pay-1"));
    }

    /** Guards against a turn that runs twice because the client did not receive its response. */
    @Test
    void aRepeatedTurnGetsTheRecordedAnswer() {
      String program = client.startProgram();
      DaemonClient.Response first = client.runTurn(program, "say it", false, 0);
      DaemonClient.Response repeated = client.runTurn(program, "say it", false, 0);
      assertEquals(choices(first), choices(repeated));
      assertEquals("turn_conflict", client.runTurn(program, "say other", false, 0).problemCode());
      assertEquals("turn_out_of_order", client.runTurn(program, "later", false, 2).problemCode());
    }

    private String choices(DaemonClient.Response response) {
      return response.bodyAsJson().getJsonArray("choices").encode();
    }
  }

  @Nested
  final class WhenTheAnswerOfAnActionIsLost {

    /** Guards against an action that is resent after its response was lost (G7). */
    @Test
    void theStatusIsQueriedAndTheActionIsNotResent() {
      String program = client.startProgram();
      environment.service().faults().loseNextResponses(1);
      DaemonClient.Response response =
          client.executeAction(program, "capture_payment", "pay-2", 8_000);
      assertEquals("done", response.outcome(), response.body());
      assertEquals(1, environment.service().executionsOf(program + "/pay-2"));
    }
  }

  @Nested
  final class WhenAnEngineFails {

    /** Guards against a turn that fails although another engine could run it. */
    @Test
    void aTurnWhoseAnswerIsLostRunsAtTheOtherEngine() {
      long brokenBefore = brokenCallCount();
      environment.engine(0).faults().loseNextResponses(1);
      for (int i = 0; i < MAX_PROGRAMS && brokenCallCount() == brokenBefore; i++) {
        DaemonClient.Response response =
            client.runTurn(client.startProgram(), "try again " + i, false);
        assertEquals("done", response.outcome(), response.body());
        assertEquals(1, response.bodyAsJson().getJsonArray("choices").size());
      }
      assertEquals(brokenBefore + 1, brokenCallCount(), "the lost response was not counted");
    }

    /** Guards against a request that crashes one engine after another. */
    @Test
    void aRequestThatBreaksTwoEnginesIsRefusedWhenItComesAgain() {
      environment.engine(0).faults().setCrashText("poison");
      environment.engine(1).faults().setCrashText("poison");
      DaemonClient.Response first = client.runTurn(client.startProgram(), "poison", false);
      assertEquals("endpoint_failed", first.problemCode(), first.body());
      int arrivedBefore =
          environment.engine(0).receivedCalls() + environment.engine(1).receivedCalls();
      DaemonClient.Response repeated = client.runTurn(client.startProgram(), "poison", false);
      assertEquals("request_quarantined", repeated.problemCode(), repeated.body());
      assertEquals("not_run", repeated.outcome());
      assertEquals(
          arrivedBefore,
          environment.engine(0).receivedCalls() + environment.engine(1).receivedCalls());
      environment.engine(0).faults().setCrashText("");
      environment.engine(1).faults().setCrashText("");
    }

    private long brokenCallCount() {
      return daemon.metrics().counterValue("engine_failures{kind=\"BROKEN\"}");
    }
  }

  @Nested
  final class WhenAChatCompletionsClientCalls {

    /** Guards against clients that find no model because they list the models first. */
    @Test
    void theModelsAreListed() {
      JsonObject listed = client.get("/v1/models").bodyAsJson();
      assertEquals("list", listed.getString("object"));
      JsonObject model = listed.getJsonArray("data").getJsonObject(0);
      assertEquals("model", model.getString("object"));
      assertEquals(DaemonTestEnvironment.MODEL, model.getString("id"));
    }

    /** Guards against a list of models for clients that belong to no team. */
    @Test
    void theModelsAreNotListedWithoutAToken() {
      assertEquals(401, new DaemonClient(daemon.httpPort(), "wrong").get("/v1/models").status());
    }

    /** Guards against refusals without the error object that such clients display. */
    @Test
    void aRefusalHasTheErrorThatClientsShow() {
      JsonObject error =
          client
              .executeAction(client.startProgram(), "refund", "r-1", 1_000)
              .bodyAsJson()
              .getJsonObject("error");
      assertEquals("operation_not_allowed", error.getString("code"));
      assertEquals("not_run", error.getString("type"));
      assertFalse(error.getString("message").isBlank());
    }
  }

  @Nested
  final class WhenCallersMayNot {

    /** Guards against a team that can read or detect the programs of another team. */
    @Test
    void aForeignProgramIsAnsweredAsAnUnknownOne() {
      String program = client.startProgram();
      DaemonClient otherTeam =
          new DaemonClient(daemon.httpPort(), DaemonTestEnvironment.RIVAL_TOKEN);
      DaemonClient.Response foreign = otherTeam.get("/v1/programs/" + program);
      DaemonClient.Response unknown =
          otherTeam.get("/v1/programs/0123456789abcdef0123456789abcdef");
      assertEquals(404, foreign.status());
      assertEquals(unknown.problemCode(), foreign.problemCode());
      assertFalse(otherTeam.get("/v1/programs").body().contains(program));
    }

    /** Guards against a request that is served without a valid token. */
    @Test
    void anUnknownTokenIsRefusedAsNotRun() {
      DaemonClient.Response response =
          new DaemonClient(daemon.httpPort(), "wrong").post("/v1/programs", new JsonObject());
      assertEquals(401, response.status());
      assertEquals("not_run", response.outcome());
      assertEquals("unauthenticated", response.problemCode());
    }

    /** Guards against an operation that runs although the team's tool rules do not permit it. */
    @Test
    void anOperationOutsideTheToolRulesIsRefusedAsNotRun() {
      DaemonClient.Response response =
          client.executeAction(client.startProgram(), "refund", "r-1", 1_000);
      assertEquals("operation_not_allowed", response.problemCode());
      assertEquals("not_run", response.outcome());
    }

    /** Guards against request bodies that exhaust the memory of the VM. */
    @Test
    void aBodyAboveTheLimitIsRefused() {
      JsonObject body = new JsonObject().put("kind", "x".repeat(3 * 1024 * 1024));
      DaemonClient.Response response = client.post("/v1/programs", body);
      assertEquals(413, response.status());
      assertEquals("body_too_large", response.problemCode());
    }
  }

  @Nested
  final class WhenOperatorsChangeSettings {

    private static final String LIMITS_PATH = "/admin/v1/config/limits";

    /** Guards against concurrent changes by operators, one of which silently replaces the other. */
    @Test
    void aChangeWithAnOldBaseIsAConflictAndFindingsAreReturned() {
      DaemonClient operator = DaemonTestEnvironment.operatorClient(daemon);
      JsonObject change = new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: 20000\n");
      DaemonClient.Response published = operator.post(LIMITS_PATH, change);
      assertEquals(200, published.status(), published.body());
      DaemonClient.Response conflict = operator.post(LIMITS_PATH, change);
      assertEquals(409, conflict.status());
      assertEquals("config_conflict", conflict.problemCode());
      long version = published.bodyAsJson().getLong("version");
      DaemonClient.Response findings =
          operator.post(
              LIMITS_PATH,
              new JsonObject().put("base", version).put("yaml", "drain_tmeout_ms: 1\n"));
      assertEquals("config_findings", findings.problemCode());
      assertEquals(1, findings.bodyAsJson().getJsonArray("findings").size());
      assertEquals(version, operator.get(LIMITS_PATH).bodyAsJson().getLong("version"));
      assertEquals(
          1, operator.get(LIMITS_PATH + "/history").bodyAsJson().getJsonArray("versions").size());
      assertEquals(401, client.get("/admin/v1/status").status());
    }
  }
}
