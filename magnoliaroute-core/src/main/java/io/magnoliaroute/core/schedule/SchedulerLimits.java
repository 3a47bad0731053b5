package io.magnoliaroute.core.schedule;

/**
 * Limits of a group scheduler.
 *
 * @param ageingBoundMs the wait after which a call goes to the head of its class, and may take one
 *     in {@code escapeInterval} dispatches from a higher class
 * @param escapeInterval dispatches from unreserved slots for each one to an aged lower class
 * @param grantExpiryMs time without an observation after which a slot is taken back
 * @param maxWaitingCalls calls that may wait in the group
 * @param deadlineMarginPercent the predicted wait of a new program is multiplied by this before it
 *     is compared with the time to its deadline; the mean is predicted and the slowest must be met
 * @param programLapseMs time without a call after which a program counts as ended
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

  /** Returns the limits in force where nothing sets them. */
  public static SchedulerLimits defaults() {
    return new SchedulerLimits(30_000, 8, 30_000, 20_000, 200, 120_000);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
