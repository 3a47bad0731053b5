package io.magnoliaroute.daemon.features;

import static io.magnoliaroute.daemon.features.DaemonApiQueries.getHistory;
import static io.magnoliaroute.daemon.features.DaemonApiQueries.getTurns;
import static io.magnoliaroute.daemon.features.DaemonApiQueries.isFirstEngineDraining;
import static io.magnoliaroute.daemon.features.DaemonApiQueries.shopBudgetUnits;
import static io.magnoliaroute.daemon.features.DaemonApiQueries.streamedContent;
import static io.magnoliaroute.daemon.features.DaemonApiQueries.userMessageTexts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.magnoliaroute.daemon.Daemon;
import io.magnoliaroute.daemon.lifecycle.StopReport;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonClient;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Step definitions of the guarantees; each scenario starts its own stand-ins and daemons. */
public final class GuaranteeSteps {

  private static final long ACTION_DEADLINE_MS = 5_000;
  private static final long SLOW_TOKEN_MS = 60;
  private static final int MAX_TURNS = 400;
  // One token per two characters, twice as many tokens as an estimate by length usually yields.
  private static final String TOKEN_DENSE_TEXT = " a".repeat(500);
  private static final String PAYMENT_OPERATION = "capture_payment";
  private static final String IDEMPOTENCY_KEY = "payment-1";
  private static final String LIMITS_PATH = "/admin/v1/config/limits";

  private final List<String> programs = new ArrayList<>();
  private final List<DaemonClient.Response> responses = new ArrayList<>();
  private final List<CompletableFuture<DaemonClient.Response>> pendingResponses = new ArrayList<>();
  private DaemonTestEnvironment environment;
  private Daemon firstDaemon;
  private Daemon secondDaemon;
  private Future<StopReport> stopReport;
  private long acceptedTimeoutMs;
  private long budgetTokens;
  private int callsWhenDrained;
  private String liveProgram;

  @After
  public void closeEnvironment() {
    if (environment != null) {
      environment.close();
    }
  }

  @Given("two daemons in front of two engines")
  public void startTwoDaemons() {
    environment = DaemonTestEnvironment.withFastEngines();
    startDaemons();
  }

  @Given("two daemons in front of two slow engines")
  public void startTwoDaemonsWithSlowEngines() {
    EngineOptions slow =
        EngineOptions.instant(DaemonTestEnvironment.MODEL)
            .withResponseTokens(DaemonTestEnvironment.COMPLETION_TOKENS)
            .withTokenIntervalMs(SLOW_TOKEN_MS)
            .withSlots(16);
    environment = new DaemonTestEnvironment(slow, 2, true);
    startDaemons();
  }

  @Given("a program started at the first daemon")
  public void startProgram() {
    programs.add(DaemonTestEnvironment.shopClient(firstDaemon).startProgram());
  }

  @Given("a program with a completed turn, started at the first daemon")
  public void startProgramWithTurn() {
    startProgram();
    assertEquals(
        "done",
        DaemonTestEnvironment.shopClient(firstDaemon)
            .runTurn(programs.get(0), "first", false)
            .outcome());
  }

  @Given("the team's budget is {int} tokens")
  public void setBudget(int tokens) {
    budgetTokens = tokens;
    DaemonClient operator = DaemonTestEnvironment.operatorClient(firstDaemon);
    JsonObject branch = operator.get("/admin/v1/config/teams%2Fshop").bodyAsJson();
    String yaml =
        branch
            .getString("yaml")
            .replaceFirst("units_per_period: \\d+", "units_per_period: " + tokens);
    assertTrue(yaml.contains("units_per_period: " + tokens), yaml);
    publish("/admin/v1/config/teams%2Fshop", branch.getLong("version"), yaml);
    Await.until(
        "the budget is active at the first daemon", () -> shopBudgetUnits(firstDaemon) == tokens);
    Await.until(
        "the budget is active at the second daemon", () -> shopBudgetUnits(secondDaemon) == tokens);
  }

  @Given("the first engine loses 4 responses")
  public void loseEngineResponses() {
    environment.engine(0).faults().loseNextResponses(4);
  }

  @Given("the engines publish no cache events")
  public void dropCacheEvents() {
    environment.engine(0).faults().setDropsCacheEvents(true);
    environment.engine(1).faults().setDropsCacheEvents(true);
  }

  @Given("the log delays appends")
  public void delayAppends() {
    environment.log().delayNextAppends(50);
  }

  @Given("the service executes the next {int} requests but loses the responses")
  public void loseServiceResponses(int count) {
    environment.service().faults().loseNextResponses(count);
  }

  @When("the client requests turn 1 at the second daemon before turn 0")
  public void requestTurnOneFirst() {
    responses.add(
        DaemonTestEnvironment.shopClient(secondDaemon).runTurn(programs.get(0), "later", false, 1));
  }

  @When("the client requests turn 0 at both daemons concurrently")
  public void requestTurnZeroAtBothDaemons() {
    pendingResponses.add(
        DaemonTestEnvironment.shopClient(firstDaemon)
            .runTurnAsync(programs.get(0), "same text", 0));
    pendingResponses.add(
        DaemonTestEnvironment.shopClient(secondDaemon)
            .runTurnAsync(programs.get(0), "same text", 0));
    pendingResponses.forEach(CompletableFuture::join);
  }

  @When("{int} programs run turns at both daemons while the log loses responses")
  public void runTurnsWhileLogLosesResponses(int count) {
    for (int i = 0; i < count; i++) {
      programs.add(
          DaemonTestEnvironment.shopClient(i % 2 == 0 ? firstDaemon : secondDaemon).startProgram());
    }
    for (int turn = 0; turn < 3; turn++) {
      environment.log().loseNextResponses(2);
      for (int i = 0; i < count; i++) {
        Daemon daemon = (turn + i) % 2 == 0 ? firstDaemon : secondDaemon;
        DaemonClient.Response response =
            DaemonTestEnvironment.shopClient(daemon)
                .runTurn(programs.get(i), turnText(i, turn), false, turn);
        assertEquals("done", response.outcome(), response.body());
      }
    }
  }

  @When("clients run turns at both daemons until the budget is exhausted")
  public void exhaustBudget() {
    int consecutiveRefusals = 0;
    for (int i = 0; i < MAX_TURNS && consecutiveRefusals < 4; i++) {
      Daemon daemon = i % 2 == 0 ? firstDaemon : secondDaemon;
      String program = DaemonTestEnvironment.shopClient(daemon).startProgram();
      DaemonClient.Response response =
          DaemonTestEnvironment.shopClient(daemon).runTurn(program, i + TOKEN_DENSE_TEXT, false);
      consecutiveRefusals =
          "budget_exhausted".equals(response.bodyAsJson().getString("code"))
              ? consecutiveRefusals + 1
              : 0;
    }
    assertEquals(4, consecutiveRefusals, "the budget was not exhausted");
  }

  @When("the program ends at the second daemon")
  public void endProgram() {
    DaemonClient.Response ended =
        DaemonTestEnvironment.shopClient(secondDaemon)
            .post("/v1/programs/" + programs.get(0) + "/end", new JsonObject());
    assertEquals("done", ended.outcome(), ended.body());
  }

  @When("an engine has a cache entry of a program whose end was not reported")
  public void addCacheEntryOfEndedProgram() {
    liveProgram = programs.set(0, "0123456789abcdef0123456789abcdef");
    DaemonApiQueries.addCacheEntry(firstDaemon, programs.get(0));
    assertTrue(isCached(programs.get(0)), "the engine has no cache entry to release");
  }

  @Then("the cache entry of the live program is retained")
  public void assertLiveProgramCached() {
    assertTrue(isCached(liveProgram), "the cache entry of a live program was released");
  }

  @When("{int} clients run a turn concurrently")
  public void runTurnsConcurrently(int count) {
    for (int i = 0; i < count; i++) {
      DaemonClient client =
          DaemonTestEnvironment.shopClient(i % 2 == 0 ? firstDaemon : secondDaemon);
      programs.add(client.startProgram());
      pendingResponses.add(client.runTurnAsync(programs.get(i), turnText(i, 0), 0));
    }
  }

  @When("{int} clients run a turn concurrently and the second daemon stops")
  public void runTurnsAndStopDaemon(int count) {
    runTurnsConcurrently(count);
    Await.until(
        "all turns run",
        () -> environment.engine(0).runningCalls() + environment.engine(1).runningCalls() == count);
    stopReport = secondDaemon.stop();
  }

  @When("the client requests a payment with a deadline of {int} ms")
  public void requestPayment(int deadlineMs) {
    responses.add(
        DaemonTestEnvironment.shopClient(firstDaemon)
            .executeAction(programs.get(0), PAYMENT_OPERATION, IDEMPOTENCY_KEY, deadlineMs));
  }

  @When("the log applies the delayed appends")
  public void completeDelayedAppends() {
    environment.log().delayNextAppends(0);
    environment.log().applyDelayedAppends();
    DaemonClient.Response after =
        DaemonTestEnvironment.shopClient(firstDaemon).runTurn(programs.get(0), "after", false);
    assertEquals("done", after.outcome(), after.body());
  }

  @When("the client requests the same payment at both daemons, twice")
  public void requestSamePaymentTwice() {
    for (int i = 0; i < 2; i++) {
      for (Daemon daemon : List.of(firstDaemon, secondDaemon)) {
        pendingResponses.add(
            DaemonTestEnvironment.shopClient(daemon)
                .executeActionAsync(
                    programs.get(0), PAYMENT_OPERATION, IDEMPOTENCY_KEY, ACTION_DEADLINE_MS));
      }
      pendingResponses.forEach(each -> responses.add(each.join()));
      pendingResponses.clear();
    }
  }

  @When("an operator drains the first engine at the second daemon")
  public void drainFirstEngine() {
    setDraining("drain");
  }

  @When("the operator resumes the first engine")
  public void resumeFirstEngine() {
    setDraining("resume");
  }

  @When("two operators publish changes to the same branch with the same base version")
  public void publishConflictingChanges() {
    responses.add(publish(firstDaemon, 21_000));
    responses.add(publish(secondDaemon, 22_000));
    acceptedTimeoutMs = responses.get(0).status() == 200 ? 21_000 : 22_000;
  }

  @When("the log becomes unavailable and a third daemon starts")
  public void startThirdDaemonDuringOutage() {
    environment.log().setOutage(true);
    secondDaemon = environment.startDaemon("vm-3");
  }

  @Then("the response is {string} with code {string}")
  public void assertOutcomeAndCode(String outcome, String code) {
    DaemonClient.Response response = responses.get(responses.size() - 1);
    assertEquals(outcome, response.outcome(), response.body());
    assertEquals(code, response.problemCode(), response.body());
  }

  @Then("the response is {string} or {string}")
  public void assertOutcomeIsOneOf(String one, String other) {
    String outcome = responses.get(0).outcome();
    assertTrue(Set.of(one, other).contains(outcome), responses.get(0).body());
  }

  @Then("the history contains exactly {int} turn(s)")
  public void assertTurnCount(int turns) {
    assertEquals(turns, getTurns(secondDaemon, programs.get(0)).size());
  }

  @Then("each history contains exactly its own {int} turns at both daemons")
  public void assertHistoriesSeparate(int turns) {
    for (int i = 0; i < programs.size(); i++) {
      for (Daemon daemon : List.of(firstDaemon, secondDaemon)) {
        JsonObject history = getHistory(daemon, programs.get(i));
        List<String> actual = userMessageTexts(history.getJsonArray("messages"));
        List<String> expected = new ArrayList<>();
        for (int turn = 0; turn < turns; turn++) {
          expected.add(turnText(i, turn));
        }
        assertEquals(expected, actual, "history of program " + i);
      }
    }
  }

  @Then("another team cannot access any of the programs")
  public void assertHiddenFromOtherTeam() {
    DaemonClient otherTeam =
        new DaemonClient(firstDaemon.httpPort(), DaemonTestEnvironment.RIVAL_TOKEN);
    for (String program : programs) {
      assertEquals(404, otherTeam.get("/v1/programs/" + program + "/history").status());
    }
    assertEquals(0, otherTeam.get("/v1/programs").bodyAsJson().getJsonArray("programs").size());
  }

  @Then("the engines have used at most {int} tokens for the team")
  public void assertSpentTokensAtMost(int tokens) {
    assertTrue(spentTokens() <= tokens, "used " + spentTokens() + " tokens of " + tokens);
  }

  @Then("the engines have used at least half of the team's budget")
  public void assertHalfOfBudgetUsed() {
    assertTrue(spentTokens() * 2 >= budgetTokens, "tokens used: " + spentTokens());
  }

  @Then("all engines release the program's cache entry within {int} ms")
  public void assertCacheReleasedWithin(int boundMs) {
    Await.within(boundMs, "the cache entry is released", () -> !isCached(programs.get(0)));
  }

  @Then("each client has received the complete response to its own request")
  public void assertResponsesComplete() {
    for (int i = 0; i < pendingResponses.size(); i++) {
      DaemonClient.Response response = pendingResponses.get(i).join();
      assertTrue(response.body().contains("\"outcome\":\"done\""), response.body());
      assertTrue(response.body().contains(programs.get(i)), response.body());
      JsonArray messages = getHistory(firstDaemon, programs.get(i)).getJsonArray("messages");
      assertEquals(List.of(turnText(i, 0)), userMessageTexts(messages));
      String recorded = messages.getJsonObject(1).getString("content");
      assertEquals(recorded, streamedContent(response.body()), "response to client " + i);
    }
  }

  @Then("a payment reported as not run has {int} executions")
  public void assertNotRunPaymentNotExecuted(int executions) {
    if ("not_run".equals(responses.get(0).outcome())) {
      assertEquals(
          executions, environment.service().executionsOf(programs.get(0) + "/" + IDEMPOTENCY_KEY));
    } else {
      assertTrue(environment.service().executionsOf(programs.get(0) + "/" + IDEMPOTENCY_KEY) <= 1);
    }
  }

  @Then("all responses report the same outcome")
  public void assertSameOutcome() {
    Set<String> outcomes = new HashSet<>();
    responses.forEach(response -> outcomes.add(response.outcome()));
    assertEquals(1, outcomes.size(), outcomes.toString());
    assertFalse(outcomes.contains("not_run"), "a payment that has run was reported as not run");
  }

  @Then("the payment has {int} execution")
  public void assertExecutionCount(int count) {
    assertEquals(
        count, environment.service().executionsOf(programs.get(0) + "/" + IDEMPOTENCY_KEY));
  }

  @Then("the drain takes effect within {int} ms and no new turn reaches the first engine")
  public void assertNoNewTurnsAfterDrain(int boundMs) {
    Await.within(
        boundMs,
        "both daemons have applied the drain",
        () -> isFirstEngineDraining(firstDaemon) && isFirstEngineDraining(secondDaemon));
    callsWhenDrained = environment.engine(0).receivedCalls();
    runTurns(12);
    assertEquals(callsWhenDrained, environment.engine(0).receivedCalls());
  }

  @Then("new turns reach the first engine again")
  public void assertTurnsReachFirstEngine() {
    Await.until(
        "both daemons have ended the drain",
        () -> !isFirstEngineDraining(firstDaemon) && !isFirstEngineDraining(secondDaemon));
    for (int i = 0;
        i < MAX_TURNS && environment.engine(0).receivedCalls() == callsWhenDrained;
        i++) {
      runTurns(4);
    }
    assertTrue(
        environment.engine(0).receivedCalls() > callsWhenDrained,
        "no new turn reached the first engine");
  }

  @Then("the stopped daemon reports exit code {int}")
  public void assertExitCode(int code) {
    assertEquals(code, Await.result(stopReport).exitCode());
  }

  @Then("one change is accepted and the other is rejected with code {string}")
  public void assertOneChangeAccepted(String code) {
    List<Integer> statuses =
        responses.stream().map(DaemonClient.Response::status).sorted().toList();
    assertEquals(List.of(200, 409), statuses);
    DaemonClient.Response refused =
        responses.get(0).status() == 409 ? responses.get(0) : responses.get(1);
    assertEquals(code, refused.problemCode());
  }

  @Then("the accepted change is active at both daemons within {int} ms")
  public void assertChangeActiveWithin(int boundMs) {
    Await.within(
        boundMs,
        "the change is active",
        () ->
            firstDaemon.drainTimeoutMs() == acceptedTimeoutMs
                && secondDaemon.drainTimeoutMs() == acceptedTimeoutMs);
  }

  @Then("the accepted change is active at the third daemon")
  public void assertChangeActiveAtThirdDaemon() {
    Await.until("the change is active", () -> secondDaemon.drainTimeoutMs() == acceptedTimeoutMs);
    assertEquals(acceptedTimeoutMs, firstDaemon.drainTimeoutMs());
  }

  private void startDaemons() {
    firstDaemon = environment.startDaemon("vm-1");
    secondDaemon = environment.startDaemon("vm-2");
    environment.awaitMembership();
  }

  private void runTurns(int count) {
    List<CompletableFuture<DaemonClient.Response>> turns = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      DaemonClient client =
          DaemonTestEnvironment.shopClient(i % 2 == 0 ? firstDaemon : secondDaemon);
      turns.add(client.runTurnAsync(client.startProgram(), "turn " + i, 0));
    }
    turns.forEach(CompletableFuture::join);
  }

  private void setDraining(String action) {
    DaemonClient.Response response =
        DaemonTestEnvironment.operatorClient(secondDaemon)
            .post("/admin/v1/endpoints/engine-0/" + action, new JsonObject());
    assertEquals(200, response.status(), response.body());
  }

  private static DaemonClient.Response publish(Daemon daemon, long timeoutMs) {
    return DaemonTestEnvironment.operatorClient(daemon)
        .post(
            LIMITS_PATH,
            new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: " + timeoutMs + "\n"));
  }

  private void publish(String path, long base, String yaml) {
    DaemonClient.Response response =
        DaemonTestEnvironment.operatorClient(firstDaemon)
            .post(path, new JsonObject().put("base", base).put("yaml", yaml));
    assertEquals(200, response.status(), response.body());
  }

  private boolean isCached(String program) {
    return environment.engine(0).cachedKeys().contains(program)
        || environment.engine(1).cachedKeys().contains(program);
  }

  private long spentTokens() {
    return environment.engine(0).processedTokens() + environment.engine(1).processedTokens();
  }

  private static String turnText(int program, int turn) {
    return "program " + program + " turn " + turn;
  }
}
