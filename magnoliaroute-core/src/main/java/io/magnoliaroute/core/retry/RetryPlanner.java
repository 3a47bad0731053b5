package io.magnoliaroute.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

/** Decides whether and when a failed attempt is repeated. Only the partition owner asks it. */
public final class RetryPlanner {

  /** Doublings after which the delay no longer grows, so that the shift cannot overflow. */
  private static final int MAX_DOUBLINGS = 20;

  private final RetrySettings settings;
  private final RetryBudget budget;
  private final RandomGenerator random;

  /** Makes a planner that pays from the budget and draws delays from the random source. */
  public RetryPlanner(RetrySettings settings, RetryBudget budget, RandomGenerator random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Decides about one failed attempt. The budget is asked last, so that no retry is paid for that
   * cannot finish before the deadline.
   */
  public RetryDecision decide(FailedAttempt failed, long nowMs) {
    if (!failed.mayRunAgain()) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.MAY_HAVE_RUN);
    }
    long roomMs = failed.deadlineMs() - nowMs - failed.expectedRunMs();
    if (roomMs < failed.retryAfterMs()) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.DEADLINE);
    }
    if (!budget.tryAcquire(failed.team(), failed.pool(), nowMs)) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.BUDGET);
    }
    long delayMs = Math.min(failed.retryAfterMs() + backoffMs(failed.attempt()), roomMs);
    return new RetryDecision.RetryAt(nowMs + delayMs);
  }

  // A delay drawn from the whole range spreads callers that failed together better than one around
  // the exponential value.
  private long backoffMs(int attempt) {
    long boundMs = settings.baseDelayMs() << Math.min(attempt, MAX_DOUBLINGS);
    return random.nextLong(Math.min(boundMs, settings.maxDelayMs()) + 1);
  }
}
