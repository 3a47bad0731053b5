package io.magnoliaroute.core.program;

/** The result of reserving capacity in a {@link HistoryBuffer} or of adding a turn to it. */
public enum HoldResult {
  /** The turn was added, or its capacity was reserved. */
  HELD,
  /**
   * The VM has reached its limit of unlogged bytes; the call is refused and reported as not run.
   */
  TOO_MANY_BYTES,
  /**
   * The program has reached its limit of unlogged turns; the call is refused and reported as not
   * run.
   */
  TOO_MANY_TURNS,
  /** The turn is not the next one of its program, or the program already has a reservation. */
  OUT_OF_ORDER,
  /**
   * The turn has no valid reservation: none was made, or a conflict withdrew it because it removed
   * turns on which the call was based.
   */
  NOT_RESERVED;

  /** Returns whether the turn was added or its capacity was reserved. */
  public boolean succeeded() {
    return this == HELD;
  }
}
