package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;

/** This VM's own entry of the table, and its answers to what others report of it. */
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

  /** Answers a report of this VM: accepts a leaving mark and refutes all else with a new life. */
  void reported(MemberDelta delta, long nowMs) {
    Member held = held();
    if (!delta.supersedes(held.incarnation(), held.state())) {
      return;
    }
    boolean marked = delta.state() == MemberState.LEAVING;
    if (marked && delta.incarnation() == held.incarnation() && !isMarkOutdated()) {
      setState(MemberState.LEAVING, nowMs);
      events.ownLeavingMarked();
      return;
    }
    long incarnation = delta.incarnation() + 1;
    set(incarnation, held.state(), nowMs);
    if (delta.state() == MemberState.SUSPECT || delta.state() == MemberState.DEAD) {
      events.ownStateRefuted(delta.state(), incarnation);
    }
  }

  /** Starts a new incarnation after a pause in which others may have taken over. */
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

  /** Becomes alive again if the platform took its leaving mark back. */
  void liftPlatformMark(long nowMs) {
    if (isMarkOutdated() && held().state() == MemberState.LEAVING) {
      MemberState before = held().state();
      set(held().incarnation() + 1, MemberState.ALIVE, nowMs);
      events.stateChanged(vm(), before, MemberState.ALIVE, held().incarnation());
    }
  }

  private boolean isMarkOutdated() {
    return !stopping && peers.isListedLiveInNewest(vm());
  }

  private Member held() {
    return table.get(info.vm()).orElseThrow();
  }

  private void setState(MemberState state, long nowMs) {
    MemberState before = held().state();
    set(held().incarnation(), state, nowMs);
    events.stateChanged(vm(), before, state, held().incarnation());
  }

  private void set(long incarnation, MemberState state, long nowMs) {
    table.put(new Member(info, incarnation, state), nowMs);
    composer.changed(info.vm());
  }
}
