package io.magnoliaroute.core.membership;

/**
 * What a VM holds of another VM.
 *
 * <p>Of two reports with the same incarnation the one with the higher rank is kept, so that views
 * agree whatever order the reports come in. Only the VM itself starts a new incarnation.
 */
public enum MemberState {
  /** Answers probes, or was reported to do so. The only state in which a VM owns anything. */
  ALIVE(0),
  /** Did not answer a probe; dead unless it refutes this in time. */
  SUSPECT(1),
  /** Is stopping, or is marked as leaving by the platform; takes no new work. */
  LEAVING(2),
  /** Did not refute a suspicion, or has stopped. */
  DEAD(3);

  private final int rank;

  MemberState(int rank) {
    this.rank = rank;
  }

  /** Returns the precedence among reports of one incarnation; also the value sent to peers. */
  public int rank() {
    return rank;
  }

  /** Returns whether a VM in this state may own partitions, endpoint groups and slices. */
  public boolean mayOwn() {
    return this == ALIVE;
  }

  /** Returns the state with the given rank. */
  public static MemberState ofRank(int rank) {
    for (MemberState state : values()) {
      if (state.rank == rank) {
        return state;
      }
    }
    throw new IllegalArgumentException("unknown member state rank: " + rank);
  }
}
