package io.magnoliaroute.daemon.features;

import static io.magnoliaroute.daemon.features.DaemonViews.askedTexts;
import static io.magnoliaroute.daemon.features.DaemonViews.budgetAt;
import static io.magnoliaroute.daemon.features.DaemonViews.historyAt;
import static io.magnoliaroute.daemon.features.DaemonViews.isDraining;
import static io.magnoliaroute.daemon.features.DaemonViews.streamedText;
import static io.magnoliaroute.daemon.features.DaemonViews.turnsAt;
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
import io.magnoliaroute.daemon.support.Caller;
import io.magnoliaroute.daemon.support.TestWorld;
import io.magnoliaroute.standin.engine.EngineOptions;
import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** The steps of the guarantees; each scenario has its own stand-ins and daemons. */
public final class GuaranteeSteps {

  private static final long ACTION_DEADLINE_MS = 5_000;
  private static final long SLOW_TOKEN_MS = 60;
  private static final int MAX_TURNS = 400;
  // One token for two characters, twice as many as a usual estimate by length expects.
  private static final String SHORT_WORDS = " a".repeat(500);
  private static final String PAYMENT = "capture_payment";
  private static final String KEY = "payment-1";
  private static final String LIMITS = "/admin/v1/config/limits";

  private final List<String> programs = new ArrayList<>();
  private final List<Caller.Reply> replies = new ArrayList<>();
  private final List<CompletableFuture<Caller.Reply>> running = new ArrayList<>();
  private TestWorld world;
  private Daemon first;
  private Daemon second;
  private Future<StopReport> stop;
  private long acceptedTimeoutMs;
  private long budgetTokens;
  private int arrivedBefore;
  private String liveProgram;

  @After
  public void closeWorld() {
    if (world != null) {
      world.close();
    }
  }

  @Given("two daemons before two engines")
  public void twoDaemons() {
    world = TestWorld.fast();
    startDaemons();
  }

  @Given("two daemons before two slow engines")
  public void twoDaemonsBeforeSlowEngines() {
    EngineOptions slow =
        EngineOptions.instant(TestWorld.MODEL)
            .withAnswerTokens(TestWorld.ANSWER_TOKENS)
            .withTokenIntervalMs(SLOW_TOKEN_MS)
            .withSlots(16);
    world = new TestWorld(slow, 2, true);
    startDaemons();
  }

  @Given("a program begun at the first daemon")
  public void aProgram() {
    programs.add(TestWorld.caller(first).startProgram());
  }

  @Given("a program with a turn, begun at the first daemon")
  public void aProgramWithATurn() {
    aProgram();
    assertEquals("done", TestWorld.caller(first).turn(programs.get(0), "first", false).outcome());
  }

  @Given("the team's budget is {int} tokens")
  public void theBudget(int tokens) {
    budgetTokens = tokens;
    Caller operator = TestWorld.operator(first);
    JsonObject branch = operator.get("/admin/v1/config/teams%2Fshop").json();
    String yaml =
        branch
            .getString("yaml")
            .replaceFirst("units_per_period: \\d+", "units_per_period: " + tokens);
    assertTrue(yaml.contains("units_per_period: " + tokens), yaml);
    publish("/admin/v1/config/teams%2Fshop", branch.getLong("version"), yaml);
    Await.until("the budget is in force at both daemons", () -> budgetAt(first) == tokens);
    Await.until("the budget is in force at both daemons", () -> budgetAt(second) == tokens);
  }

  @Given("the first engine loses 4 answers")
  public void theFirstEngineLosesAnswers() {
    world.engine(0).faults().loseNextAnswers(4);
  }

  @Given("the engines publish no cache events")
  public void noCacheEvents() {
    world.engine(0).faults().setDropsCacheEvents(true);
    world.engine(1).faults().setDropsCacheEvents(true);
  }

  @Given("the log takes appends late")
  public void lateAppends() {
    world.log().delayNextAppends(50);
  }

  @Given("the service loses the next {int} answers after the effect")
  public void lostServiceAnswers(int count) {
    world.service().faults().loseNextAnswers(count);
  }

  @When("the caller asks the second daemon for turn 1 before turn 0")
  public void turnOneFirst() {
    replies.add(TestWorld.caller(second).turn(programs.get(0), "later", false, 1));
  }

  @When("the caller asks both daemons for turn 0 at the same time")
  public void turnZeroTwice() {
    running.add(TestWorld.caller(first).turnLater(programs.get(0), "same text", 0));
    running.add(TestWorld.caller(second).turnLater(programs.get(0), "same text", 0));
    running.forEach(CompletableFuture::join);
  }

  @When("{int} programs take turns at both daemons while the log loses answers")
  public void turnsWhileTheLogLosesAnswers(int count) {
    for (int i = 0; i < count; i++) {
      programs.add(TestWorld.caller(i % 2 == 0 ? first : second).startProgram());
    }
    for (int turn = 0; turn < 3; turn++) {
      world.log().loseNextAnswers(2);
      for (int i = 0; i < count; i++) {
        Daemon daemon = (turn + i) % 2 == 0 ? first : second;
        Caller.Reply reply =
            TestWorld.caller(daemon).turn(programs.get(i), text(i, turn), false, turn);
        assertEquals("done", reply.outcome(), reply.text());
      }
    }
  }

  @When("callers run turns at both daemons until the budget is used up")
  public void spendTheBudget() {
    int refused = 0;
    for (int i = 0; i < MAX_TURNS && refused < 4; i++) {
      Daemon daemon = i % 2 == 0 ? first : second;
      String program = TestWorld.caller(daemon).startProgram();
      Caller.Reply reply = TestWorld.caller(daemon).turn(program, i + SHORT_WORDS, false);
      refused = "budget_exhausted".equals(reply.json().getString("code")) ? refused + 1 : 0;
    }
    assertEquals(4, refused, "the budget was never used up");
  }

  @When("the program ends at the second daemon")
  public void endProgram() {
    Caller.Reply ended =
        TestWorld.caller(second).post("/v1/programs/" + programs.get(0) + "/end", new JsonObject());
    assertEquals("done", ended.outcome(), ended.text());
  }

  @When("an engine holds memory of a program that has ended without a notice")
  public void engineHoldsMemoryOfAnEndedProgram() {
    liveProgram = programs.set(0, "0123456789abcdef0123456789abcdef");
    DaemonViews.fillCache(first, programs.get(0));
    assertTrue(isHeld(programs.get(0)), "the engine holds nothing to release");
  }

  @Then("the memory of the live program is still held")
  public void liveMemoryIsHeld() {
    assertTrue(isHeld(liveProgram), "the memory of a live program was released");
  }

  @When("{int} callers run a turn at the same time")
  public void runAtTheSameTime(int count) {
    for (int i = 0; i < count; i++) {
      Caller caller = TestWorld.caller(i % 2 == 0 ? first : second);
      programs.add(caller.startProgram());
      running.add(caller.turnLater(programs.get(i), text(i, 0), 0));
    }
  }

  @When("{int} callers run a turn at the same time and the second daemon stops")
  public void runAndStop(int count) {
    runAtTheSameTime(count);
    Await.until(
        "all turns run",
        () -> world.engine(0).runningCalls() + world.engine(1).runningCalls() == count);
    stop = second.stop();
  }

  @When("the caller requests a payment with a deadline of {int} ms")
  public void requestPayment(int deadlineMs) {
    replies.add(TestWorld.caller(first).action(programs.get(0), PAYMENT, KEY, deadlineMs));
  }

  @When("the late appends land")
  public void landLateAppends() {
    world.log().delayNextAppends(0);
    world.log().landLateAppends();
    Caller.Reply after = TestWorld.caller(first).turn(programs.get(0), "after", false);
    assertEquals("done", after.outcome(), after.text());
  }

  @When("the caller requests the same payment at both daemons, twice")
  public void samePaymentTwice() {
    for (int i = 0; i < 2; i++) {
      for (Daemon daemon : List.of(first, second)) {
        running.add(
            TestWorld.caller(daemon)
                .actionLater(programs.get(0), PAYMENT, KEY, ACTION_DEADLINE_MS));
      }
      running.forEach(each -> replies.add(each.join()));
      running.clear();
    }
  }

  @When("an operator drains the first engine at the second daemon")
  public void drain() {
    setDraining("drain");
  }

  @When("the operator resumes the first engine")
  public void resume() {
    setDraining("resume");
  }

  @When("two operators publish a change of the same branch on the same base")
  public void racingOperators() {
    replies.add(publish(first, 21_000));
    replies.add(publish(second, 22_000));
    acceptedTimeoutMs = replies.get(0).status() == 200 ? 21_000 : 22_000;
  }

  @When("the log goes down and a third daemon starts")
  public void thirdDaemonDuringOutage() {
    world.log().setOutage(true);
    second = world.startDaemon("vm-3");
  }

  @Then("the reply is {string} with code {string}")
  public void theReplyIs(String outcome, String code) {
    Caller.Reply reply = replies.get(replies.size() - 1);
    assertEquals(outcome, reply.outcome(), reply.text());
    assertEquals(code, reply.code(), reply.text());
  }

  @Then("the reply is {string} or {string}")
  public void theReplyIsOneOf(String one, String other) {
    String outcome = replies.get(0).outcome();
    assertTrue(Set.of(one, other).contains(outcome), replies.get(0).text());
  }

  @Then("the history has exactly {int} turn(s)")
  public void historyHas(int turns) {
    assertEquals(turns, turnsAt(second, programs.get(0)).size());
  }

  @Then("each history holds exactly its own {int} turns at both daemons")
  public void ownHistories(int turns) {
    for (int i = 0; i < programs.size(); i++) {
      for (Daemon daemon : List.of(first, second)) {
        JsonObject history = historyAt(daemon, programs.get(i));
        List<String> asked = askedTexts(history.getJsonArray("messages"));
        List<String> expected = new ArrayList<>();
        for (int turn = 0; turn < turns; turn++) {
          expected.add(text(i, turn));
        }
        assertEquals(expected, asked, "history of program " + i);
      }
    }
  }

  @Then("another team does not see any of the programs")
  public void anotherTeamSeesNothing() {
    Caller rival = new Caller(first.httpPort(), TestWorld.RIVAL_TOKEN);
    for (String program : programs) {
      assertEquals(404, rival.get("/v1/programs/" + program + "/history").status());
    }
    assertEquals(0, rival.get("/v1/programs").json().getJsonArray("programs").size());
  }

  @Then("the engines have spent at most {int} tokens for the team")
  public void spentAtMost(int tokens) {
    assertTrue(spentTokens() <= tokens, "spent " + spentTokens() + " of " + tokens);
  }

  @Then("the team could use at least half of its budget")
  public void spentHalf() {
    assertTrue(spentTokens() * 2 >= budgetTokens, "spent only " + spentTokens());
  }

  @Then("no engine holds its memory within {int} ms")
  public void memoryReleased(int boundMs) {
    Await.within(boundMs, "the memory is released", () -> !isHeld(programs.get(0)));
  }

  @Then("each caller has the whole answer to its own request")
  public void wholeAnswers() {
    for (int i = 0; i < running.size(); i++) {
      Caller.Reply reply = running.get(i).join();
      assertTrue(reply.text().contains("\"outcome\":\"done\""), reply.text());
      assertTrue(reply.text().contains(programs.get(i)), reply.text());
      JsonArray messages = historyAt(first, programs.get(i)).getJsonArray("messages");
      assertEquals(List.of(text(i, 0)), askedTexts(messages));
      String answer = messages.getJsonObject(1).getString("content");
      assertEquals(answer, streamedText(reply.text()), "answer of caller " + i);
    }
  }

  @Then("a payment that was not run has {int} executions")
  public void notRunMeansNoExecution(int executions) {
    if ("not_run".equals(replies.get(0).outcome())) {
      assertEquals(executions, world.service().executionsOf(programs.get(0) + "/" + KEY));
    } else {
      assertTrue(world.service().executionsOf(programs.get(0) + "/" + KEY) <= 1);
    }
  }

  @Then("all replies agree on the outcome")
  public void repliesAgree() {
    Set<String> outcomes = new HashSet<>();
    replies.forEach(reply -> outcomes.add(reply.outcome()));
    assertEquals(1, outcomes.size(), outcomes.toString());
    assertFalse(outcomes.contains("not_run"), "the payment took effect");
  }

  @Then("the payment has {int} execution")
  public void executions(int count) {
    assertEquals(count, world.service().executionsOf(programs.get(0) + "/" + KEY));
  }

  @Then("within {int} ms no new turn reaches the first engine")
  public void noNewTurns(int boundMs) {
    Await.within(
        boundMs, "both daemons know of the drain", () -> isDraining(first) && isDraining(second));
    arrivedBefore = world.engine(0).arrivedCalls();
    runTurns(12);
    assertEquals(arrivedBefore, world.engine(0).arrivedCalls());
  }

  @Then("new turns reach the first engine again")
  public void turnsReachTheFirstEngine() {
    Await.until("the drain is lifted", () -> !isDraining(first) && !isDraining(second));
    for (int i = 0; i < MAX_TURNS && world.engine(0).arrivedCalls() == arrivedBefore; i++) {
      runTurns(4);
    }
    assertTrue(world.engine(0).arrivedCalls() > arrivedBefore, "no turn reached it");
  }

  @Then("the stopped daemon reports exit code {int}")
  public void exitCode(int code) {
    assertEquals(code, Await.result(stop).exitCode());
  }

  @Then("one is accepted and the other gets code {string}")
  public void oneAccepted(String code) {
    List<Integer> statuses = replies.stream().map(Caller.Reply::status).sorted().toList();
    assertEquals(List.of(200, 409), statuses);
    Caller.Reply refused = replies.get(0).status() == 409 ? replies.get(0) : replies.get(1);
    assertEquals(code, refused.code());
  }

  @Then("the accepted change is in force at both daemons within {int} ms")
  public void inForce(int boundMs) {
    Await.within(
        boundMs,
        "the change is in force",
        () ->
            first.drainTimeoutMs() == acceptedTimeoutMs
                && second.drainTimeoutMs() == acceptedTimeoutMs);
  }

  @Then("the accepted change is in force at the third daemon")
  public void inForceAtTheThird() {
    Await.until("the change is in force", () -> second.drainTimeoutMs() == acceptedTimeoutMs);
    assertEquals(acceptedTimeoutMs, first.drainTimeoutMs());
  }

  private void startDaemons() {
    first = world.startDaemon("vm-1");
    second = world.startDaemon("vm-2");
    world.awaitMembership();
  }

  private void runTurns(int count) {
    List<CompletableFuture<Caller.Reply>> turns = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Caller caller = TestWorld.caller(i % 2 == 0 ? first : second);
      turns.add(caller.turnLater(caller.startProgram(), "turn " + i, 0));
    }
    turns.forEach(CompletableFuture::join);
  }

  private void setDraining(String verb) {
    Caller.Reply reply =
        TestWorld.operator(second).post("/admin/v1/endpoints/engine-0/" + verb, new JsonObject());
    assertEquals(200, reply.status(), reply.text());
  }

  private static Caller.Reply publish(Daemon daemon, long timeoutMs) {
    return TestWorld.operator(daemon)
        .post(
            LIMITS,
            new JsonObject().put("base", -1).put("yaml", "drain_timeout_ms: " + timeoutMs + "\n"));
  }

  private void publish(String path, long base, String yaml) {
    Caller.Reply reply =
        TestWorld.operator(first).post(path, new JsonObject().put("base", base).put("yaml", yaml));
    assertEquals(200, reply.status(), reply.text());
  }

  private boolean isHeld(String program) {
    return world.engine(0).heldCacheKeys().contains(program)
        || world.engine(1).heldCacheKeys().contains(program);
  }

  private long spentTokens() {
    return world.engine(0).spentTokens() + world.engine(1).spentTokens();
  }

  private static String text(int program, int turn) {
    return "program " + program + " turn " + turn;
  }
}
