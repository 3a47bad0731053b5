package io.magnoliaroute.core.membership;

import java.util.Objects;

/**
 * One report of a VM's state, as it is passed between VMs.
 *
 * @param info the VM that the report is about
 * @param incarnation the life of that VM that the report is about
 * @param state the state reported
 */
public record MemberDelta(MemberInfo info, long incarnation, MemberState state) {

  /** Rejects missing parts. */
  public MemberDelta {
    Objects.requireNonNull(info, "info");
    Objects.requireNonNull(state, "state");
  }

  /** Returns whether this report replaces one with the given incarnation and state. */
  public boolean supersedes(long otherIncarnation, MemberState otherState) {
    if (incarnation != otherIncarnation) {
      return incarnation > otherIncarnation;
    }
    return state.rank() > otherState.rank();
  }
}
