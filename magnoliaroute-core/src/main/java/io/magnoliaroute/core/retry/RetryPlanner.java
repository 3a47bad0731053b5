package io.magnoliaroute.core.retry;

import java.util.Objects;
import java.util.random.RandomGenerator;

/** Decides whether and when a failed attempt is retried. Used only by the partition owner. */
public final class RetryPlanner {

  /** The maximum number of times the delay is doubled, so that the shift cannot overflow. */
  private static final int MAX_DOUBLINGS = 20;

  private final RetrySettings settings;
  private final RetryBudget budget;
  private final RandomGenerator random;

  /** Creates a planner that charges retries to the budget and draws random delays. */
  public RetryPlanner(RetrySettings settings, RetryBudget budget, RandomGenerator random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * Decides about a failed attempt. The budget is charged last, so that no retry is charged that
   * cannot complete before the deadline.
   */
  public RetryDecision decide(FailedAttempt failed, long nowMs) {
    if (!failed.safeToRetry()) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.MAY_HAVE_RUN);
    }
    long slackMs = failed.deadlineMs() - nowMs - failed.expectedRunMs();
    if (slackMs < failed.retryAfterMs()) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.DEADLINE);
    }
    if (!budget.tryAcquire(failed.team(), failed.pool(), nowMs)) {
      return new RetryDecision.GiveUp(RetryDecision.Reason.BUDGET);
    }
    long delayMs = Math.min(failed.retryAfterMs() + backoffMs(failed.attempt()), slackMs);
    return new RetryDecision.RetryAt(nowMs + delayMs);
  }

  // Exponential backoff with full jitter. Drawing from the entire range spreads calls that failed
  // at the same time better than jitter around the exponential value.
  private long backoffMs(int attempt) {
    long boundMs = settings.baseDelayMs() << Math.min(attempt, MAX_DOUBLINGS);
    return random.nextLong(Math.min(boundMs, settings.maxDelayMs()) + 1);
  }
}
