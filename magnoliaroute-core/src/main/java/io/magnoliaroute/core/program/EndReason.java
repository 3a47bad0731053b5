package io.magnoliaroute.core.program;

/** Why a program ended. */
public enum EndReason {
  /** The caller ended it. */
  ENDED(0),
  /** The caller or an operator cancelled it. */
  CANCELLED(1),
  /** No call came within the idle time of the team. */
  LAPSED(2),
  /** It reached a limit of turns, tokens or repeated calls. */
  LIMIT_REACHED(3),
  /** Its deadline passed. */
  DEADLINE_PASSED(4);

  private final int wireNumber;

  EndReason(int wireNumber) {
    this.wireNumber = wireNumber;
  }

  /** Returns whether a turn that the writer did not know of refuses the end. */
  public boolean refusedByNewTurn() {
    return this == LAPSED;
  }

  /** Returns the reason with the given number. */
  public static EndReason ofWireNumber(int wireNumber) {
    for (EndReason reason : values()) {
      if (reason.wireNumber == wireNumber) {
        return reason;
      }
    }
    throw new IllegalArgumentException("unknown end reason: " + wireNumber);
  }

  /** Returns the number used in records. */
  public int wireNumber() {
    return wireNumber;
  }
}
