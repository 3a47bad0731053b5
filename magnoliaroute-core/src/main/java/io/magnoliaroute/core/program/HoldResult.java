package io.magnoliaroute.core.program;

/** Whether a {@link HistoryBuffer} has room for a turn. */
public enum HoldResult {
  /** The turn is held, or its room is reserved. */
  HELD,
  /** The VM holds the most bytes of unlogged history; the call is refused as not run. */
  TOO_MANY_BYTES,
  /** The program has the most unlogged turns; the call is refused as not run. */
  TOO_MANY_TURNS,
  /** The turn is not the next one of its program. */
  OUT_OF_ORDER,
  /**
   * No room is reserved: a conflict took the history that the turn was built on, so that the turn
   * cannot join it.
   */
  NOT_RESERVED;

  /** Returns whether the turn is held. */
  public boolean held() {
    return this == HELD;
  }
}
