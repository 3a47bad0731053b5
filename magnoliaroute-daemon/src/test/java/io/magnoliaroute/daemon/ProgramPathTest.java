package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** One daemon serves whole programs over HTTP. */
final class ProgramPathTest {

  private static final int MAX_PROGRAMS = 100;

  private static TestWorld world;
  private static Daemon daemon;
  private static Caller caller;

  @BeforeAll
  static void startWorld() {
    world = TestWorld.fast();
    daemon = world.startDaemon("vm-1");
    caller = TestWorld.caller(daemon);
  }

  @AfterAll
  static void closeWorld() {
    world.close();
  }

  /** Guards against turns, actions or history that are lost between the parts of the daemon. */
  @Test
  void aWholeProgramRunsFromStartToEnd() {
    String program = caller.startProgram();
    Caller.Reply first = caller.turn(program, "plan the day", false);
    assertEquals("done", first.outcome(), first.text());
    assertEquals("logged", first.json().getString("history"));
    Caller.Reply second = caller.turn(program, "and the evening", true);
    assertTrue(second.text().contains("\"outcome\":\"done\""), second.text());
    assertTrue(second.text().endsWith("data: [DONE]\n\n"), second.text());
    String child =
        caller
            .post("/v1/programs", new JsonObject().put("parent", program))
            .json()
            .getString("program");
    assertEquals("done", caller.turn(child, "help with one part", false).outcome());
    Caller.Reply action = caller.action(program, "capture_payment", "order-1", 5_000);
    assertEquals("done", action.outcome(), action.text());
    assertEquals(
        "done", caller.post("/v1/programs/" + program + "/end", new JsonObject()).outcome());
    JsonObject history = caller.get("/v1/programs/" + program + "/history").json();
    assertEquals(2, history.getJsonArray("turns").size());
    assertEquals(4, history.getJsonArray("messages").size());
    assertEquals("program_ended", caller.turn(program, "more", false).code());
  }

  /** Guards against engine memory that stays held for ended programs (G4). */
  @Test
  void theEngineMemoryOfAnEndedProgramIsReleased() {
    String program = caller.startProgram();
    assertEquals("done", caller.turn(program, "remember this", false).outcome());
    assertTrue(isHeld(program));
    caller.post("/v1/programs/" + program + "/end", new JsonObject());
    Await.until("memory is released", () -> !isHeld(program));
  }

  private static boolean isHeld(String program) {
    return world.engine(0).heldCacheKeys().contains(program)
        || world.engine(1).heldCacheKeys().contains(program);
  }

  @Nested
  final class WhenRequestsAreRepeated {

    /** Guards against a second execution of one idempotency key (G7). */
    @Test
    void aRepeatedActionGetsTheRecordedResultAndRunsOnce() {
      String program = caller.startProgram();
      Caller.Reply first = caller.action(program, "capture_payment", "pay-1", 5_000);
      Caller.Reply second = caller.action(program, "capture_payment", "pay-1", 5_000);
      assertEquals("done", first.outcome(), first.text());
      assertEquals("done", second.outcome(), second.text());
      assertEquals(1, world.service().executionsOf(program + "/pay-1"));
    }

    /** Guards against a turn that runs twice when its caller did not get the answer. */
    @Test
    void aRepeatedTurnGetsTheRecordedAnswer() {
      String program = caller.startProgram();
      Caller.Reply first = caller.turn(program, "say it", false, 0);
      Caller.Reply again = caller.turn(program, "say it", false, 0);
      assertEquals(text(first), text(again));
      assertEquals("turn_conflict", caller.turn(program, "say other", false, 0).code());
      assertEquals("turn_out_of_order", caller.turn(program, "later", false, 2).code());
    }

    private String text(Caller.Reply reply) {
      return reply.json().getJsonArray("choices").encode();
    }
  }

  @Nested
  final class WhenTheAnswerOfAnActionIsLost {

    /** Guards against an action that is sent again after its answer was lost (G7). */
    @Test
    void theServiceIsAskedAndTheActionIsNotSentAgain() {
      String program = caller.startProgram();
      world.service().faults().loseNextAnswers(1);
      Caller.Reply reply = caller.action(program, "capture_payment", "pay-2", 8_000);
      assertEquals("done", reply.outcome(), reply.text());
      assertEquals(1, world.service().executionsOf(program + "/pay-2"));
    }
  }

  @Nested
  final class WhenAnEngineFails {

    /** Guards against a turn that fails although another engine could run it. */
    @Test
    void aTurnWhoseAnswerIsLostRunsAtTheOtherEngine() {
      long brokenBefore = brokenCalls();
      world.engine(0).faults().loseNextAnswers(1);
      for (int i = 0; i < MAX_PROGRAMS && brokenCalls() == brokenBefore; i++) {
        Caller.Reply reply = caller.turn(caller.startProgram(), "try again " + i, false);
        assertEquals("done", reply.outcome(), reply.text());
        assertEquals(1, reply.json().getJsonArray("choices").size());
      }
      assertEquals(brokenBefore + 1, brokenCalls(), "the lost answer was not seen");
    }

    /** Guards against a request that crashes one engine after the other. */
    @Test
    void aRequestThatBreaksTwoEnginesIsRefusedWhenItComesAgain() {
      world.engine(0).faults().setCrashText("poison");
      world.engine(1).faults().setCrashText("poison");
      Caller.Reply first = caller.turn(caller.startProgram(), "poison", false);
      assertEquals("endpoint_failed", first.code(), first.text());
      int arrived = world.engine(0).arrivedCalls() + world.engine(1).arrivedCalls();
      Caller.Reply again = caller.turn(caller.startProgram(), "poison", false);
      assertEquals("request_quarantined", again.code(), again.text());
      assertEquals("not_run", again.outcome());
      assertEquals(arrived, world.engine(0).arrivedCalls() + world.engine(1).arrivedCalls());
      world.engine(0).faults().setCrashText("");
      world.engine(1).faults().setCrashText("");
    }

    private long brokenCalls() {
      return daemon.metrics().countOf("engine_failures{kind=\"BROKEN\"}");
    }
  }

  @Nested
  final class WhenAChatCompletionsClientCalls {

    /** Guards against clients that list the models before they offer one. */
    @Test
    void theModelsAreListed() {
      JsonObject listed = caller.get("/v1/models").json();
      assertEquals("list", listed.getString("object"));
      JsonObject model = listed.getJsonArray("data").getJsonObject(0);
      assertEquals("model", model.getString("object"));
      assertEquals(TestWorld.MODEL, model.getString("id"));
    }

    /** Guards against lists for callers that belong to no team. */
    @Test
    void theModelsAreNotListedWithoutAToken() {
      assertEquals(401, new Caller(daemon.httpPort(), "wrong").get("/v1/models").status());
    }

    /** Guards against refusals of which such clients show nothing. */
    @Test
    void aRefusalHasTheErrorThatClientsShow() {
      JsonObject error =
          caller
              .action(caller.startProgram(), "refund", "r-1", 1_000)
              .json()
              .getJsonObject("error");
      assertEquals("operation_not_allowed", error.getString("code"));
      assertEquals("not_run", error.getString("type"));
      assertFalse(error.getString("message").isBlank());
    }
  }

  @Nested
  final class WhenCallersMayNot {

    /** Guards against a team that sees or guesses another team's programs. */
    @Test
    void aForeignProgramIsAnsweredAsAnUnknownOne() {
      String program = caller.startProgram();
      Caller rival = new Caller(daemon.httpPort(), TestWorld.RIVAL_TOKEN);
      Caller.Reply foreign = rival.get("/v1/programs/" + program);
      Caller.Reply unknown = rival.get("/v1/programs/0123456789abcdef0123456789abcdef");
      assertEquals(404, foreign.status());
      assertEquals(unknown.code(), foreign.code());
      assertFalse(rival.get("/v1/programs").text().contains(program));
    }

    /** Guards against requests without a valid token. */
    @Test
    void anUnknownTokenIsRefusedAsNotRun() {
      Caller.Reply reply =
          new Caller(daemon.httpPort(), "wrong").post("/v1/programs", new JsonObject());
      assertEquals(401, reply.status());
      assertEquals("not_run", reply.outcome());
      assertEquals("unauthenticated", reply.code());
    }

    /** Guards against operations outside the team's tool rules. */
    @Test
    void anOperationOutsideTheToolRulesIsRefusedAsNotRun() {
      Caller.Reply reply = caller.action(caller.startProgram(), "refund", "r-1", 1_000);
      assertEquals("operation_not_allowed", reply.code());
      assertEquals("not_run", reply.outcome());
    }

    /** Guards against bodies that fill the memory of the VM. */
    @Test
    void aBodyAboveTheLimitIsRefused() {
      JsonObject body = new JsonObject().put("kind", "x".repeat(3 * 1024 * 1024));
      Caller.Reply reply = caller.post("/v1/programs", body);
      assertEquals(413, reply.status());
      assertEquals("body_too_large", reply.code());
    }
  }

  @Nested
  final class WhenOperatorsChangeSettings {

    private static final String BRANCH = "/admin/v1/config/limits";

    /** Guards against a race of operators in which one change silently replaces the other. */
    @Test
    void aChangeWithAnOldBaseIsAConflictAndFindingsAreReturned() {
      Caller operator = TestWorld.operator(daemon);
      JsonObject change = new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: 20000\n");
      Caller.Reply published = operator.post(BRANCH, change);
      assertEquals(200, published.status(), published.text());
      Caller.Reply conflict = operator.post(BRANCH, change);
      assertEquals(409, conflict.status());
      assertEquals("config_conflict", conflict.code());
      long version = published.json().getLong("version");
      Caller.Reply findings =
          operator.post(
              BRANCH, new JsonObject().put("base", version).put("yaml", "drain_tmeout_ms: 1\n"));
      assertEquals("config_findings", findings.code());
      assertEquals(1, findings.json().getJsonArray("findings").size());
      assertEquals(version, operator.get(BRANCH).json().getLong("version"));
      assertEquals(1, operator.get(BRANCH + "/history").json().getJsonArray("versions").size());
      assertEquals(401, caller.get("/admin/v1/status").status());
    }
  }
}
