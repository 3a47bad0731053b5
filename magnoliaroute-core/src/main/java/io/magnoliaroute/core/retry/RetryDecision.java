package io.magnoliaroute.core.retry;

/** What to do after a failed attempt. */
public sealed interface RetryDecision {

  /**
   * Try again at the time; the retry is already paid for.
   *
   * @param atMs when to send the next attempt
   */
  record RetryAt(long atMs) implements RetryDecision {}

  /**
   * Give the caller its final answer now.
   *
   * @param reason why there is no further attempt
   */
  record GiveUp(Reason reason) implements RetryDecision {}

  /** Why there is no further attempt. */
  enum Reason {
    /** The call may have run and must not run twice. */
    MAY_HAVE_RUN,
    /** Another attempt would end after the deadline. */
    DEADLINE,
    /** The team has no retries left in the pool. */
    BUDGET
  }
}
