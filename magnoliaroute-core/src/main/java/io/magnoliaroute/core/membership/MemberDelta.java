package io.magnoliaroute.core.membership;

import java.util.Objects;

/**
 * A report of one VM's state, as exchanged between VMs.
 *
 * @param info the VM that the report is about
 * @param incarnation the incarnation of that VM that the state applies to
 * @param state the reported state
 */
public record MemberDelta(MemberInfo info, long incarnation, MemberState state) {

  /** Rejects null components. */
  public MemberDelta {
    Objects.requireNonNull(info, "info");
    Objects.requireNonNull(state, "state");
  }

  /** Returns whether this report takes precedence over the given incarnation and state. */
  public boolean supersedes(long otherIncarnation, MemberState otherState) {
    if (incarnation != otherIncarnation) {
      return incarnation > otherIncarnation;
    }
    return state.rank() > otherState.rank();
  }
}
