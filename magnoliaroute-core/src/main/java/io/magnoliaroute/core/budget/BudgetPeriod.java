package io.magnoliaroute.core.budget;

/**
 * One budget period of a team. Periods of different length have separate accounts.
 *
 * @param index the number of the period since the epoch
 * @param lengthMs the length of the period
 */
public record BudgetPeriod(long index, long lengthMs) {

  /** Rejects a length that is not positive. */
  public BudgetPeriod {
    if (lengthMs < 1) {
      throw new IllegalArgumentException("lengthMs must be positive, was " + lengthMs);
    }
  }

  /** Returns the period that contains the time. */
  public static BudgetPeriod at(long nowMs, long lengthMs) {
    if (lengthMs < 1) {
      throw new IllegalArgumentException("lengthMs must be positive, was " + lengthMs);
    }
    return new BudgetPeriod(Math.floorDiv(nowMs, lengthMs), lengthMs);
  }

  /** Returns the first instant of the period. */
  public long startMs() {
    return index * lengthMs;
  }

  /** Returns the first instant after the period. */
  public long endMs() {
    return startMs() + lengthMs;
  }
}
