package io.magnoliaroute.core.action;

/**
 * Times of an action.
 *
 * @param giveUpBeforeMs the time before the deadline at which an intent without a verdict is given
 *     up, so that the verdict of the abandon can still be read
 * @param minSendMs the least time to the deadline at which a request is still sent
 * @param retryMs the wait before a status query or a refused append is tried again
 * @param recoveryGraceMs the time after a new owner's claim at which it recovers open intents; at
 *     least the lease time, so that an earlier owner no longer sends
 * @param recoveryLimitMs the time after that at which an unanswered status query counts as unknown
 */
public record ActionTiming(
    long giveUpBeforeMs, long minSendMs, long retryMs, long recoveryGraceMs, long recoveryLimitMs) {

  /** Rejects a wait that would repeat without pause. */
  public ActionTiming {
    if (retryMs < 1) {
      throw new IllegalArgumentException("retryMs must be positive, was " + retryMs);
    }
  }
}
