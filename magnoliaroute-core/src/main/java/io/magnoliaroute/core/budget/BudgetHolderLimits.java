package io.magnoliaroute.core.budget;

/**
 * Timing limits of a budget holder.
 *
 * @param idleMs the time without use after which a slice is released
 * @param resendMs the time after which a record that has not been read back is appended again with
 *     the same id
 * @param demandExpiryMs the time after which a refused call that has not been retried no longer
 *     counts as demand
 * @param growthWindowMs the time since the last grant within which the next slice is twice as large
 */
public record BudgetHolderLimits(
    long idleMs, long resendMs, long demandExpiryMs, long growthWindowMs) {

  /** Validates that all times are positive. */
  public BudgetHolderLimits {
    requirePositive("idleMs", idleMs);
    requirePositive("resendMs", resendMs);
    requirePositive("demandExpiryMs", demandExpiryMs);
    requirePositive("growthWindowMs", growthWindowMs);
  }

  /** Returns the limits that the daemon uses. */
  public static BudgetHolderLimits defaults() {
    return new BudgetHolderLimits(10_000, 3_000, 2_000, 5_000);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
