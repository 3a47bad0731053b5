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
    composer.setSelf(info.vm());
    updateEntry(startIncarnation, MemberState.ALIVE, nowMs);
  }

  MemberInfo info() {
    return info;
  }

  VmId vm() {
    return info.vm();
  }

  boolean hasStopped() {
    return entry().state() == MemberState.DEAD;
  }

  /**
   * Handles a report about this VM: accepts a leaving mark that is not outdated, and refutes any
   * other report by starting a new incarnation.
   */
  void handleReport(MemberDelta delta, long nowMs) {
    Member current = entry();
    if (!delta.supersedes(current.incarnation(), current.state())) {
      return;
    }
    boolean reportsLeaving = delta.state() == MemberState.LEAVING;
    if (reportsLeaving
        && delta.incarnation() == current.incarnation()
        && !isLeavingMarkOutdated()) {
      setState(MemberState.LEAVING, nowMs);
      events.addLocalVmMarkedLeaving();
      return;
    }
    long incarnation = delta.incarnation() + 1;
    updateEntry(incarnation, current.state(), nowMs);
    if (delta.state() == MemberState.SUSPECT || delta.state() == MemberState.DEAD) {
      events.addLocalStateRefuted(delta.state(), incarnation);
    }
  }

  /** Starts a new incarnation after a pause during which other VMs may have taken over. */
  void handlePause(long gapMs, long nowMs) {
    long incarnation = entry().incarnation() + 1;
    updateEntry(incarnation, entry().state(), nowMs);
    events.addLocalPauseDetected(gapMs, incarnation);
  }

  void leave(long nowMs) {
    stopping = true;
    if (entry().state().rank() < MemberState.LEAVING.rank()) {
      setState(MemberState.LEAVING, nowMs);
    }
  }

  void stop(long nowMs) {
    stopping = true;
    setState(MemberState.DEAD, nowMs);
  }

  /** Returns this VM to {@code ALIVE} if the platform has withdrawn its leaving mark. */
  void clearPlatformLeavingMark(long nowMs) {
    if (isLeavingMarkOutdated() && entry().state() == MemberState.LEAVING) {
      MemberState previous = entry().state();
      updateEntry(entry().incarnation() + 1, MemberState.ALIVE, nowMs);
      events.addStateChanged(vm(), previous, MemberState.ALIVE, entry().incarnation());
    }
  }

  private boolean isLeavingMarkOutdated() {
    return !stopping && peers.isActiveInNewestList(vm());
  }

  private Member entry() {
    return table.get(info.vm()).orElseThrow();
  }

  private void setState(MemberState state, long nowMs) {
    MemberState previous = entry().state();
    updateEntry(entry().incarnation(), state, nowMs);
    events.addStateChanged(vm(), previous, state, entry().incarnation());
  }

  private void updateEntry(long incarnation, MemberState state, long nowMs) {
    table.put(new Member(info, incarnation, state), nowMs);
    composer.enqueue(info.vm());
  }
}
