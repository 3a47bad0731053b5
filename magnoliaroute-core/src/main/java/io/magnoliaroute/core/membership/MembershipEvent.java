package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;

/** What the rest of the VM must know of a change in membership. */
public sealed interface MembershipEvent {

  /**
   * The state held of a VM has changed.
   *
   * @param vm the VM, which may be this VM
   * @param from the earlier state; {@link MemberState#DEAD} for a VM that was not known
   * @param to the new state
   * @param incarnation the life that the new state belongs to
   */
  record StateChanged(VmId vm, MemberState from, MemberState to, long incarnation)
      implements MembershipEvent {}

  /**
   * This VM was paused for longer than the suspicion time, so that others may own what it owned. It
   * must re-read its claims before it writes.
   *
   * @param gapMs the time between two ticks
   * @param incarnation the incarnation from now on
   */
  record OwnPauseDetected(long gapMs, long incarnation) implements MembershipEvent {}

  /**
   * Others held this VM for suspect or dead, so that they may own what it owned.
   *
   * @param refuted the state that was reported
   * @param incarnation the incarnation from now on
   */
  record OwnStateRefuted(MemberState refuted, long incarnation) implements MembershipEvent {}

  /** The platform has marked this VM as leaving; it should begin its planned stop. */
  record OwnLeavingMarked() implements MembershipEvent {}

  /**
   * A peer has newer settings than this VM.
   *
   * @param vm the peer to fetch from
   * @param configVersion its version
   */
  record NewerConfigSeen(VmId vm, long configVersion) implements MembershipEvent {}
}
