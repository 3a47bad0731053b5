package io.magnoliaroute.core.schedule;

/**
 * Limits of a group scheduler.
 *
 * @param ageingBoundMs the age at which a call moves to the head of its class and becomes eligible
 *     for the dispatches given to aged calls of lower classes
 * @param escapeInterval one in this many dispatches from unreserved slots may go to an aged call of
 *     a lower class
 * @param grantExpiryMs time without an observation after which a grant expires and its slot is
 *     reclaimed
 * @param maxWaitingCalls maximum number of waiting calls in the group
 * @param deadlineMarginPercent safety factor for the predicted wait of a new program when it is
 *     compared with the time to the deadline; needed because the prediction is a mean, whereas the
 *     slowest programs must meet their deadlines too
 * @param programLapseMs idle time after which a program without open calls counts as ended
 */
public record SchedulerLimits(
    long ageingBoundMs,
    int escapeInterval,
    long grantExpiryMs,
    int maxWaitingCalls,
    int deadlineMarginPercent,
    long programLapseMs) {

  /** Rejects limits that are not positive. */
  public SchedulerLimits {
    requirePositive("ageingBoundMs", ageingBoundMs);
    requirePositive("escapeInterval", escapeInterval);
    requirePositive("grantExpiryMs", grantExpiryMs);
    requirePositive("maxWaitingCalls", maxWaitingCalls);
    requirePositive("deadlineMarginPercent", deadlineMarginPercent);
    requirePositive("programLapseMs", programLapseMs);
  }

  /** Returns the default limits. */
  public static SchedulerLimits defaults() {
    return new SchedulerLimits(30_000, 8, 30_000, 20_000, 200, 120_000);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
