package io.magnoliaroute.core.budget;

/**
 * A budget period of a team. Periods of different lengths have separate accounts.
 *
 * @param index the number of periods of this length between the epoch and the start of this one
 * @param lengthMs the length of the period
 */
public record BudgetPeriod(long index, long lengthMs) {

  /** Validates that the length is positive. */
  public BudgetPeriod {
    if (lengthMs < 1) {
      throw new IllegalArgumentException("lengthMs must be positive, was " + lengthMs);
    }
  }

  /** Returns the period of the given length that contains the given time. */
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
