package io.magnoliaroute.core.retry;

/** The decision on whether to retry after a failed attempt. */
public sealed interface RetryDecision {

  /**
   * Retry at the given time; the retry has already been charged to the retry budget.
   *
   * @param atMs the time at which to send the next attempt
   */
  record RetryAt(long atMs) implements RetryDecision {}

  /**
   * Return the failure to the caller now.
   *
   * @param reason the reason why there is no further attempt
   */
  record GiveUp(Reason reason) implements RetryDecision {}

  /** The reason why a failed attempt is not retried. */
  enum Reason {
    /** The call may have run and must not run twice. */
    MAY_HAVE_RUN,
    /** Another attempt would end after the deadline. */
    DEADLINE,
    /** The retry budget of the team in the pool is exhausted. */
    BUDGET
  }
}
