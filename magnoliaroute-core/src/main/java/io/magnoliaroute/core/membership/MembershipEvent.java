package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;

/** A change in membership that other parts of this VM have to handle. */
public sealed interface MembershipEvent {

  /**
   * The known state of a VM has changed.
   *
   * @param vm the VM, which may be this VM
   * @param from the previous state; {@link MemberState#DEAD} for a VM that was not known
   * @param to the new state
   * @param incarnation the incarnation that the new state applies to
   */
  record StateChanged(VmId vm, MemberState from, MemberState to, long incarnation)
      implements MembershipEvent {}

  /**
   * This VM was paused for longer than the suspicion time, so other VMs may have taken over what it
   * owned. It must re-read its claims before it writes.
   *
   * @param gapMs the time since the last tick
   * @param incarnation the new incarnation of this VM
   */
  record LocalPauseDetected(long gapMs, long incarnation) implements MembershipEvent {}

  /**
   * Other VMs considered this VM suspect or dead, so they may have taken over what it owned.
   *
   * @param refutedState the reported state that this VM has refuted
   * @param incarnation the new incarnation of this VM
   */
  record LocalStateRefuted(MemberState refutedState, long incarnation) implements MembershipEvent {}

  /** The platform has marked this VM as leaving; it should start its graceful shutdown. */
  record LocalVmMarkedLeaving() implements MembershipEvent {}

  /**
   * A peer has newer settings than this VM.
   *
   * @param vm the peer to fetch the settings from
   * @param configVersion the peer's settings version
   */
  record NewerConfigReported(VmId vm, long configVersion) implements MembershipEvent {}
}
