package io.magnoliaroute.core.budget;

/**
 * The timing of a budget holder.
 *
 * @param idleMs a slice not used for this time is released
 * @param resendMs a record not read back for this time is written again with the same id
 * @param demandMs a call that was refused and is not tried again for this time no longer counts
 * @param growthMs a slice used up within this time is followed by one of twice the size
 */
public record BudgetHolderLimits(long idleMs, long resendMs, long demandMs, long growthMs) {

  /** Rejects times that are not positive. */
  public BudgetHolderLimits {
    requirePositive("idleMs", idleMs);
    requirePositive("resendMs", resendMs);
    requirePositive("demandMs", demandMs);
    requirePositive("growthMs", growthMs);
  }

  /** Returns the timing that the daemon uses. */
  public static BudgetHolderLimits defaults() {
    return new BudgetHolderLimits(10_000, 3_000, 2_000, 5_000);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
