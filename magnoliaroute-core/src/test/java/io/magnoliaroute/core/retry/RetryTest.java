package io.magnoliaroute.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.Outcome;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.ProgramLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RetryTest {

  private static final TeamId TEAM = new TeamId("orders");
  private static final PoolId POOL = new PoolId("models");
  private static final RetrySettings SETTINGS = new RetrySettings(0.1, 0.2, 10, 50, 2_000);
  private static final ProgramLimits LIMITS = new ProgramLimits(50, 1_000, 3, 5_000, 60_000);

  private final RetryBudget budget = new RetryBudget(SETTINGS);
  private final RetryPlanner planner = new RetryPlanner(SETTINGS, budget, new Random(3));

  @Nested
  final class WhenAPoolFailsEveryCall {

    /** Guards against retries that multiply the load of a failing pool. */
    @Test
    void retriesAreLimitedToTheBurstAndTheRefillRate() {
      int retries = 0;
      for (long nowMs = 0; nowMs < 100_000; nowMs += 10) {
        retries += budget.tryAcquire(TEAM, POOL, nowMs) ? 1 : 0;
      }
      assertEquals(10 + 19, retries, 1);
    }

    /** Guards against a team that uses up the retries of another team or pool. */
    @Test
    void otherTeamsAndPoolsKeepTheirRetries() {
      exhaustBudget();
      assertTrue(budget.tryAcquire(new TeamId("stock"), POOL, 0));
      assertTrue(budget.tryAcquire(TEAM, new PoolId("payments"), 0));
    }

    /**
     * Guards against hedges that bypass the budget, and hedges of calls that are not idempotent.
     */
    @Test
    void hedgesUseTheSameBudgetAndRequireAnIdempotentCall() {
      assertFalse(budget.tryAcquireHedge(TEAM, POOL, false, 0));
      assertEquals(10, budget.availableRetries(TEAM, POOL, 0));
      exhaustBudget();
      assertFalse(budget.tryAcquireHedge(TEAM, POOL, true, 0));
    }

    /** Guards against a clock that steps back and causes the same time to be refilled twice. */
    @Test
    void clockThatStepsBackAddsNoTokens() {
      exhaustBudget();
      for (int i = 0; i < 100; i++) {
        assertFalse(budget.tryAcquire(TEAM, POOL, -60_000));
        assertFalse(budget.tryAcquire(TEAM, POOL, 0));
      }
    }

    private void exhaustBudget() {
      while (budget.tryAcquire(TEAM, POOL, 0)) {
        assertTrue(budget.availableRetries(TEAM, POOL, 0) >= 0);
      }
    }
  }

  /** Guards against budgets that never recover, or recover fully on the first success. */
  @Test
  void tenSuccessesAllowOneRetry() {
    while (budget.tryAcquire(TEAM, POOL, 0)) {
      assertTrue(budget.availableRetries(TEAM, POOL, 0) >= 0);
    }
    for (int i = 0; i < 9; i++) {
      budget.recordSuccess(TEAM, POOL, 0);
    }
    assertFalse(budget.tryAcquire(TEAM, POOL, 0));
    budget.recordSuccess(TEAM, POOL, 0);
    budget.recordSuccess(TEAM, POOL, 0);
    assertTrue(budget.tryAcquire(TEAM, POOL, 0));
    assertFalse(budget.tryAcquire(TEAM, POOL, 0));
  }

  /** Guards against a map that grows without bound as new teams appear. */
  @Test
  void bucketsAreBoundedAndAnEvictedOneDoesNotStartFull() {
    for (int i = 0; i < RetryBudget.MAX_BUCKETS + 10; i++) {
      budget.tryAcquire(new TeamId("team-" + i), POOL, 0);
    }
    assertEquals(RetryBudget.MAX_BUCKETS, budget.size());
    assertFalse(budget.tryAcquire(new TeamId("new-team"), POOL, 0));
    budget.tryAcquire(new TeamId("later"), POOL, 5_000);
    // After 5 s all buckets are full again except the 11 that started empty.
    assertEquals(11 + 1, budget.size());
  }

  @Nested
  final class WhenAnAttemptHasFailed {

    /** Guards against running a call such as a payment twice. */
    @Test
    void callThatMayHaveRunIsNotRetried() {
      assertGivenUp(RetryDecision.Reason.MAY_HAVE_RUN, attempt(0, false, 60_000, 0));
      assertEquals(10, budget.availableRetries(TEAM, POOL, 0));
    }

    /** Guards against retries that end after the deadline but are charged to the budget. */
    @Test
    void retryThatCannotEndBeforeTheDeadlineIsNeitherMadeNorCharged() {
      assertGivenUp(RetryDecision.Reason.DEADLINE, attempt(0, true, 999, 0));
      assertGivenUp(RetryDecision.Reason.DEADLINE, attempt(0, true, 1_500, 501));
      assertEquals(10, budget.availableRetries(TEAM, POOL, 0));
    }

    /** Guards against synchronised retries and against delays beyond the bound or the deadline. */
    @Test
    void delaysAreSpreadOverAnExponentialRangeWithinTheDeadline() {
      List<Long> delaysMs = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        budget.recordSuccess(TEAM, POOL, i * 10_000L);
        long nowMs = i * 10_000L;
        RetryDecision decision = planner.decide(attempt(3, true, nowMs + 1_300, 0), nowMs);
        delaysMs.add(assertInstanceOf(RetryDecision.RetryAt.class, decision).atMs() - nowMs);
      }
      assertTrue(delaysMs.stream().allMatch(delayMs -> delayMs >= 0 && delayMs <= 300));
      assertTrue(delaysMs.stream().distinct().count() > 50, delaysMs::toString);
    }

    private void assertGivenUp(RetryDecision.Reason reason, FailedAttempt failed) {
      assertEquals(new RetryDecision.GiveUp(reason), planner.decide(failed, 0));
    }

    private FailedAttempt attempt(
        int number, boolean safeToRetry, long deadlineMs, long retryAfterMs) {
      return new FailedAttempt(TEAM, POOL, number, safeToRetry, deadlineMs, 1_000, retryAfterMs);
    }
  }

  @Nested
  final class WhenAProgramLoops {

    private final LoopGuard guard = new LoopGuard(LIMITS);

    /** Guards against a program that makes the same call indefinitely. */
    @Test
    void consecutiveEqualCallsAreStopped() {
      assertEquals(4, callsUntilStopped(LoopVerdict.REPETITION, "a"));
    }

    /** Guards against a program that alternates between two calls indefinitely. */
    @Test
    void repeatedCycleIsStopped() {
      assertEquals(8, callsUntilStopped(LoopVerdict.REPETITION, "a", "b"));
    }

    /** Guards against limits that are off by one or not enforced. */
    @Test
    void turnsAndTokensAreLimited() {
      for (int i = 0; i < LIMITS.maxTurns(); i++) {
        assertEquals(LoopVerdict.CONTINUE, guard.checkNextCall(call("call " + i)));
      }
      assertEquals(LoopVerdict.TURN_LIMIT, guard.checkNextCall(call("one more")));
      LoopGuard other = new LoopGuard(LIMITS);
      other.addTokens(LIMITS.maxTokens());
      assertEquals(LoopVerdict.TOKEN_LIMIT, other.checkNextCall(call("a")));
    }

    private int callsUntilStopped(LoopVerdict expected, String... cycle) {
      for (int calls = 1; ; calls++) {
        LoopVerdict verdict = guard.checkNextCall(call(cycle[calls % cycle.length]));
        if (verdict.mustStopProgram()) {
          assertEquals(expected, verdict);
          return calls;
        }
      }
    }

    private static Fingerprint call(String arguments) {
      return Fingerprint.ofServiceCall("stock", "read", arguments);
    }
  }

  /**
   * Guards against a tool call that never times out, or is reported as not run after it was sent.
   */
  @Test
  void toolCallTimesOutAfterItsTimeoutOrDeadline() {
    assertEquals(
        new ToolTimeout.Wait(6_000), ToolTimeout.decide(1_000, 9_000, true, LIMITS, 5_999));
    ToolTimeout.TimedOut timedOut = new ToolTimeout.TimedOut(false, Outcome.UNKNOWN);
    assertEquals(timedOut, ToolTimeout.decide(1_000, 9_000, false, LIMITS, 6_000));
    assertEquals(timedOut, ToolTimeout.decide(1_000, 2_000, false, LIMITS, 2_000));
  }
}
