package io.magnoliaroute.core.action;

/**
 * Timeouts and delays for the processing of actions.
 *
 * @param abandonBeforeDeadlineMs how long before the deadline an unsent action is abandoned, so
 *     that the verdict on the abandon record can be read before the deadline
 * @param minTimeToSendMs the minimum time that must remain before the deadline for a request to be
 *     sent
 * @param retryDelayMs the delay before a status query or a refused append is retried
 * @param recoveryGraceMs how long a new owner waits after its claim before it recovers open
 *     intents; must be at least the lease duration, so that no earlier owner can still send
 * @param recoveryTimeoutMs how long after the grace period a recovery without a conclusive status
 *     response records the outcome as unknown
 */
public record ActionTiming(
    long abandonBeforeDeadlineMs,
    long minTimeToSendMs,
    long retryDelayMs,
    long recoveryGraceMs,
    long recoveryTimeoutMs) {

  /** Validates that the retry delay is positive, as a zero delay would cause a busy loop. */
  public ActionTiming {
    if (retryDelayMs < 1) {
      throw new IllegalArgumentException("retry delay in ms must be positive, was " + retryDelayMs);
    }
  }
}
