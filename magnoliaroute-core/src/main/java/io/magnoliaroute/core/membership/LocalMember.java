package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;

/** Maintains the local VM's table entry and handles reports about it from other VMs. */
final class LocalMember {

  private final MemberInfo info;
  private final MemberTable table;
  private final PeerDirectory peers;
  private final GossipComposer composer;
  private final EventBuffer events;
  private boolean stopping;

  LocalMember(
      MemberInfo info,
      long startIncarnation,
      MemberTable table,
      PeerDirectory peers,
      GossipComposer composer,
      EventBuffer events,
      long nowMs) {
    this.info = info;
    this.table = table;
    this.peers = peers;
    this.composer = composer;
    this.events = events;
    composer.self(info.vm());
    set(startIncarnation, MemberState.ALIVE, nowMs);
  }

  MemberInfo info() {
    return info;
  }

  VmId vm() {
    return info.vm();
  }

  boolean hasStopped() {
    return held().state() == MemberState.DEAD;
  }

  /**
   * Handles a report about this VM: accepts a leaving mark that is not outdated, and refutes any
   * other report by starting a new incarnation.
   */
  void reported(MemberDelta delta, long nowMs) {
    Member current = held();
    if (!delta.supersedes(current.incarnation(), current.state())) {
      return;
    }
    boolean reportsLeaving = delta.state() == MemberState.LEAVING;
    if (reportsLeaving && delta.incarnation() == current.incarnation() && !isMarkOutdated()) {
      setState(MemberState.LEAVING, nowMs);
      events.ownLeavingMarked();
      return;
    }
    long incarnation = delta.incarnation() + 1;
    set(incarnation, current.state(), nowMs);
    if (delta.state() == MemberState.SUSPECT || delta.state() == MemberState.DEAD) {
      events.ownStateRefuted(delta.state(), incarnation);
    }
  }

  /** Starts a new incarnation after a pause during which other VMs may have taken over. */
  void paused(long gapMs, long nowMs) {
    long incarnation = held().incarnation() + 1;
    set(incarnation, held().state(), nowMs);
    events.ownPauseDetected(gapMs, incarnation);
  }

  void leave(long nowMs) {
    stopping = true;
    if (held().state().rank() < MemberState.LEAVING.rank()) {
      setState(MemberState.LEAVING, nowMs);
    }
  }

  void stop(long nowMs) {
    stopping = true;
    setState(MemberState.DEAD, nowMs);
  }

  /** Returns this VM to {@code ALIVE} if the platform has withdrawn its leaving mark. */
  void liftPlatformMark(long nowMs) {
    if (isMarkOutdated() && held().state() == MemberState.LEAVING) {
      MemberState previous = held().state();
      set(held().incarnation() + 1, MemberState.ALIVE, nowMs);
      events.stateChanged(vm(), previous, MemberState.ALIVE, held().incarnation());
    }
  }

  private boolean isMarkOutdated() {
    return !stopping && peers.isListedLiveInNewest(vm());
  }

  private Member held() {
    return table.get(info.vm()).orElseThrow();
  }

  private void setState(MemberState state, long nowMs) {
    MemberState previous = held().state();
    set(held().incarnation(), state, nowMs);
    events.stateChanged(vm(), previous, state, held().incarnation());
  }

  private void set(long incarnation, MemberState state, long nowMs) {
    table.put(new Member(info, incarnation, state), nowMs);
    composer.changed(info.vm());
  }
}
