package io.magnoliaroute.core.membership;

/**
 * The state of a VM as known to another VM.
 *
 * <p>Of two reports with the same incarnation, the one with the higher rank takes precedence, so
 * that views converge regardless of the order in which reports arrive. Only the VM itself starts a
 * new incarnation.
 */
public enum MemberState {
  /** Answers probes, or was reported to do so. The only state in which a VM may own anything. */
  ALIVE(0),
  /** Did not answer a probe; becomes dead unless it refutes the suspicion in time. */
  SUSPECT(1),
  /** Is stopping, or is marked as leaving by the platform; accepts no new work. */
  LEAVING(2),
  /** Did not refute a suspicion in time, or has stopped. */
  DEAD(3);

  private final int rank;

  MemberState(int rank) {
    this.rank = rank;
  }

  /**
   * Returns the precedence among reports of one incarnation, which also encodes the state on the
   * wire.
   */
  public int rank() {
    return rank;
  }

  /** Returns whether a VM in this state may own partitions, endpoint groups and slices. */
  public boolean mayOwn() {
    return this == ALIVE;
  }

  /**
   * Returns the state with the given rank.
   *
   * @throws IllegalArgumentException if no state has this rank
   */
  public static MemberState ofRank(int rank) {
    for (MemberState state : values()) {
      if (state.rank == rank) {
        return state;
      }
    }
    throw new IllegalArgumentException("unknown member state rank: " + rank);
  }
}
