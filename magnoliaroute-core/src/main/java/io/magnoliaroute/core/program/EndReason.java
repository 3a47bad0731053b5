package io.magnoliaroute.core.program;

/** The reason for which a program ended. */
public enum EndReason {
  /** The caller ended the program. */
  ENDED(0),
  /** The caller or an operator cancelled the program. */
  CANCELLED(1),
  /** The program received no call within the team's idle timeout. */
  LAPSED(2),
  /** The program reached its limit of turns, tokens or repeated calls. */
  LIMIT_REACHED(3),
  /** The program's deadline passed. */
  DEADLINE_PASSED(4);

  private final int wireNumber;

  EndReason(int wireNumber) {
    this.wireNumber = wireNumber;
  }

  /**
   * Returns whether an end record with this reason is refused if the history has turns that its
   * writer had not read.
   */
  public boolean requiresCurrentTurnCount() {
    return this == LAPSED;
  }

  /** Returns the reason with the given number in records. */
  public static EndReason ofWireNumber(int wireNumber) {
    for (EndReason reason : values()) {
      if (reason.wireNumber == wireNumber) {
        return reason;
      }
    }
    throw new IllegalArgumentException("unknown end reason: " + wireNumber);
  }

  /** Returns the number that identifies the reason in records. */
  public int wireNumber() {
    return wireNumber;
  }
}
