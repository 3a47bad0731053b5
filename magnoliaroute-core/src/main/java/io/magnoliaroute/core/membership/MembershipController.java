package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Maintains this VM's table of VMs by probing a few VMs per period.
 *
 * <p>All methods must be called on one event loop, except {@link #view}, which may be called from
 * any thread. No method blocks. The caller sends the messages that the methods return, handles the
 * events that {@link #drainEvents} returns, and calls {@link #tick} every {@link #TICK_MS}.
 */
public final class MembershipController {

  /** The tick interval, in milliseconds, for which the periods in the settings are chosen. */
  public static final long TICK_MS = 100;

  /** Suspects probed again per period, so that they learn of the suspicion and can refute it. */
  private static final int SUSPECT_PROBES_PER_PERIOD = 2;

  /** Number of VMs that are notified immediately when this VM leaves or has stopped. */
  private static final int DEPARTURE_NOTICES = 3;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final LocalMember local;
  private final MemberTable table;
  private final PeerDirectory peers = new PeerDirectory();
  private final ProbeTracker probes;
  private final GossipComposer composer;
  private final ProbeRound localDataCentreRound;
  private final ProbeRound remoteDataCentresRound;
  private final ProbeRound absentRound;
  private final TableSyncScheduler sync;
  private final MonotonicClock clock;
  private final EventBuffer events = new EventBuffer();

  private volatile MembershipView view;
  private long lastTickMs;
  private long nextProbeMs;
  private long nextAbsentProbeMs;

  /**
   * Creates the controller of a VM that has just started.
   *
   * @param self the identity, location and address of this VM
   * @param startIncarnation higher than any incarnation of an earlier run of this VM, such as the
   *     start time in ms; a lower value is raised when peers report the earlier run
   * @param settings periods and limits
   * @param random selects the probe order and the helpers
   * @param nowMs the current time
   */
  public MembershipController(
      MemberInfo self,
      long startIncarnation,
      MembershipSettings settings,
      RandomGenerator random,
      long nowMs) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.random = Objects.requireNonNull(random, "random");
    this.table = new MemberTable(settings.suspicionMs());
    this.composer = new GossipComposer(settings, table, peers);
    this.local = new LocalMember(self, startIncarnation, table, peers, composer, events, nowMs);
    this.probes = new ProbeTracker(random.nextLong(1, Integer.MAX_VALUE));
    this.localDataCentreRound = new ProbeRound(random);
    this.remoteDataCentresRound = new ProbeRound(random);
    this.absentRound = new ProbeRound(random);
    this.clock = new MonotonicClock(nowMs);
    this.lastTickMs = nowMs;
    // Spreads the probes of VMs that start at the same time over the period.
    this.nextProbeMs = nowMs + random.nextLong(settings.periodMs());
    this.nextAbsentProbeMs = nextProbeMs;
    this.sync = new TableSyncScheduler(settings, nextProbeMs);
    this.view = table.view(self.vm());
  }

  /** Advances the timers, handles probes that timed out, and returns the messages that are due. */
  public List<OutgoingMessage> tick(long clockMs) {
    if (local.hasStopped()) {
      return List.of();
    }
    long nowMs = clock.toMonotonicMs(clockMs);
    detectPause(nowMs);
    lastTickMs = nowMs;
    List<OutgoingMessage> out = new ArrayList<>();
    expireSuspects(nowMs);
    handleOverdueProbes(nowMs, out);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + settings.periodMs();
      probeMembers(nowMs, out);
    }
    if (nowMs >= nextAbsentProbeMs) {
      probeAbsent(nowMs, out);
    }
    for (VmId vm : table.evictDead(nowMs, settings.deadRetentionMs())) {
      composer.removeQueued(vm);
    }
    refreshView();
    return out;
  }

  /**
   * Handles a message and returns the messages to send in response.
   *
   * @param from the VM that the connection is authenticated for
   * @param message the received message
   * @param clockMs the current reading of the clock
   */
  public List<OutgoingMessage> receive(VmId from, MembershipMessage message, long clockMs) {
    MemberDelta sender = message.gossip().sender();
    if (local.hasStopped() || from.equals(local.vm()) || !sender.info().vm().equals(from)) {
      return List.of();
    }
    long nowMs = clock.toMonotonicMs(clockMs);
    detectPause(nowMs);
    peers.recordListVersion(message.gossip().listVersion());
    merge(sender, nowMs);
    int newDeltas = 0;
    for (MemberDelta delta : message.gossip().deltas()) {
      newDeltas += merge(delta, nowMs) ? 1 : 0;
    }
    events.addIfNewerConfig(
        from, message.gossip().configVersion(), composer.configVersion(), nowMs);
    List<OutgoingMessage> out = new ArrayList<>();
    if (message instanceof MembershipMessage.Ping ping) {
      out.add(createAck(from, ping, nowMs));
    } else if (message instanceof MembershipMessage.PingReq pingReq) {
      relayProbe(from, pingReq, nowMs, out);
    } else if (message instanceof MembershipMessage.Ack ack) {
      handleAck(from, ack, newDeltas, nowMs, out);
    }
    refreshView();
    return out;
  }

  /** Returns the current snapshot of the table. */
  public MembershipView view() {
    return view;
  }

  /** Returns the events since the last call, in order, and removes them from the buffer. */
  public List<MembershipEvent> drainEvents() {
    return events.drain();
  }

  /**
   * Applies a response of the platform's VM list. The list adds VMs to probe and marks VMs as
   * leaving; it never makes a VM alive or dead. A list that is not newer than the last one is
   * ignored. Only the marked VM itself clears its mark: when it has the newest list version known
   * through gossip, that list names it as not leaving, and it has not begun to stop.
   */
  public void applyPlatformList(PlatformList list, long clockMs) {
    if (!peers.apply(list)) {
      return;
    }
    long nowMs = clock.toMonotonicMs(clockMs);
    for (VmId vm : peers.leaving()) {
      markLeaving(vm, nowMs);
    }
    local.clearPlatformLeavingMark(nowMs);
    refreshView();
  }

  /** Adds a peer from the process settings, which is probed until it answers. */
  public void addSeed(VmId vm, PeerAddress address) {
    peers.addSeed(vm, address);
  }

  /** Sets the settings version in force on this VM, which probes and acks report to peers. */
  public void setConfigVersion(long version) {
    composer.setConfigVersion(version);
  }

  /** Marks this VM as leaving and returns messages that announce the mark immediately. */
  public List<OutgoingMessage> leave(long clockMs) {
    long nowMs = clock.toMonotonicMs(clockMs);
    local.leave(nowMs);
    refreshView();
    return createDepartureNotices(nowMs);
  }

  /**
   * Marks this VM as dead and returns messages that announce its stop to peers. This is the last
   * call before the process exits.
   */
  public List<OutgoingMessage> stop(long clockMs) {
    long nowMs = clock.toMonotonicMs(clockMs);
    local.stop(nowMs);
    refreshView();
    return createDepartureNotices(nowMs);
  }

  /**
   * Returns the address of the VM from the table, or else from the platform's list or the seeds.
   */
  public Optional<PeerAddress> address(VmId vm) {
    Optional<PeerAddress> known = table.get(vm).map(member -> member.info().address());
    return known.isPresent() ? known : peers.address(vm);
  }

  /**
   * Returns whether this VM's table has matched that of another VM since the start. Until then,
   * this VM chooses owners from a subset of the VMs, so it should not report itself as ready unless
   * it is the first VM of its region.
   */
  public boolean hasSynchronised() {
    return sync.hasSynchronised();
  }

  /** Returns the number of changes that are waiting to be gossiped, for metrics. */
  public int queuedDeltas() {
    return composer.queuedDeltas();
  }

  // A VM that could not receive messages for a while must not suspect others because of acks that
  // it missed.
  private void detectPause(long nowMs) {
    long gapMs = nowMs - lastTickMs;
    if (gapMs <= settings.directTimeoutMs()) {
      return;
    }
    lastTickMs = nowMs;
    probes.clear();
    table.extendSuspicions(gapMs);
    if (gapMs > settings.suspicionMs()) {
      local.handlePause(gapMs, nowMs);
    }
  }

  private void expireSuspects(long nowMs) {
    for (VmId vm : table.expiredSuspects(nowMs)) {
      Member current = table.get(vm).orElseThrow();
      merge(new MemberDelta(current.info(), current.incarnation(), MemberState.DEAD), nowMs);
    }
  }

  private void handleOverdueProbes(long nowMs, List<OutgoingMessage> out) {
    for (ProbeTracker.Probe probe : probes.markOverdueDirect(nowMs, settings.directTimeoutMs())) {
      for (VmId helper : randomAlive(settings.indirectProbes(), probe.target())) {
        Gossip gossip = composer.composeRequest(helper);
        out.add(
            new OutgoingMessage(
                helper, new MembershipMessage.PingReq(probe.sequence(), probe.target(), gossip)));
      }
    }
    for (ProbeTracker.Probe probe : probes.removeTimedOut(nowMs, settings.probeTimeoutMs())) {
      if (probe.suspectOnTimeout()) {
        suspect(probe.target(), nowMs);
      }
    }
  }

  private void suspect(VmId vm, long nowMs) {
    Member current = table.get(vm).orElse(null);
    if (current == null) {
      return;
    }
    if (current.state() == MemberState.LEAVING) {
      table.startLeavingSuspicion(vm, nowMs);
      return;
    }
    merge(new MemberDelta(current.info(), current.incarnation(), MemberState.SUSPECT), nowMs);
  }

  private void probeMembers(long nowMs, List<OutgoingMessage> out) {
    localDataCentreRound
        .next(() -> table.ids(this::isProbedInLocalDataCentre), this::isProbed)
        .ifPresent(vm -> probe(vm, true, nowMs, out));
    remoteDataCentresRound
        .next(() -> table.ids(this::isProbedInRemoteDataCentre), this::isProbed)
        .ifPresent(vm -> probe(vm, true, nowMs, out));
    List<VmId> suspects = table.suspects();
    for (int i = 0; i < SUSPECT_PROBES_PER_PERIOD && !suspects.isEmpty(); i++) {
      VmId suspect = suspects.remove(random.nextInt(suspects.size()));
      probe(suspect, false, nowMs, out);
    }
  }

  private void probeAbsent(long nowMs, List<OutgoingMessage> out) {
    boolean noPeers = table.ids(this::isProbed).isEmpty();
    nextAbsentProbeMs = nowMs + (noPeers ? settings.periodMs() : settings.absentProbePeriodMs());
    absentRound
        .next(() -> peers.absentVms(table), vm -> peers.isAbsent(vm, table))
        .ifPresent(vm -> probe(vm, false, nowMs, out));
  }

  private void probe(VmId target, boolean suspectOnTimeout, long nowMs, List<OutgoingMessage> out) {
    long sequence = probes.start(target, suspectOnTimeout, sync.nextPage(), nowMs);
    Gossip gossip = composer.composeRequest(target);
    out.add(
        new OutgoingMessage(
            target, new MembershipMessage.Ping(sequence, sync.requestPageIfDue(nowMs), gossip)));
  }

  private OutgoingMessage createAck(VmId from, MembershipMessage.Ping ping, long nowMs) {
    boolean digestsDiffer = ping.gossip().tableDigest() != table.digest();
    boolean withPage = ping.tableWanted() && digestsDiffer;
    Gossip gossip =
        withPage
            ? composer.composeAckWithPage(ping.gossip().sender(), ping.sequence(), nowMs)
            : composer.composeAck(ping.gossip().sender());
    return new OutgoingMessage(from, new MembershipMessage.Ack(ping.sequence(), gossip));
  }

  private void relayProbe(
      VmId from, MembershipMessage.PingReq pingReq, long nowMs, List<OutgoingMessage> out) {
    VmId target = pingReq.target();
    if (target.equals(local.vm()) || table.get(target).isEmpty()) {
      return;
    }
    probes
        .startRelayed(from, pingReq.sequence(), target, nowMs)
        .ifPresent(
            sequence ->
                out.add(
                    new OutgoingMessage(
                        target,
                        new MembershipMessage.Ping(
                            sequence, false, composer.composeRequest(target)))));
  }

  private void handleAck(
      VmId from, MembershipMessage.Ack ack, int newDeltas, long nowMs, List<OutgoingMessage> out) {
    Optional<ProbeTracker.Probe> probe = probes.complete(ack.sequence());
    if (probe.isPresent()) {
      table.clearLeavingSuspicion(probe.get().target());
      sync.handleAck(ack.gossip().tableDigest() != table.digest(), newDeltas, nowMs);
      return;
    }
    probes
        .completeRelayed(ack.sequence(), from)
        .ifPresent(relay -> out.add(createRelayedAck(relay, ack.gossip().sender())));
  }

  private OutgoingMessage createRelayedAck(
      ProbeTracker.RelayedProbe relay, MemberDelta targetReport) {
    Gossip gossip = composer.composeRelayedAck(relay.requester(), targetReport);
    return new OutgoingMessage(
        relay.requester(), new MembershipMessage.Ack(relay.requesterSequence(), gossip));
  }

  private boolean merge(MemberDelta delta, long nowMs) {
    VmId vm = delta.info().vm();
    if (vm.equals(local.vm())) {
      local.handleReport(delta, nowMs);
      return false;
    }
    Optional<Member> previous = table.get(vm);
    if (!table.merge(delta, nowMs)) {
      return false;
    }
    composer.enqueue(vm);
    MemberState from = previous.map(Member::state).orElse(MemberState.DEAD);
    events.addStateChanged(vm, from, delta.state(), delta.incarnation());
    if (previous.isEmpty() && peers.leaving().contains(vm)) {
      markLeaving(vm, nowMs);
    }
    return true;
  }

  private void markLeaving(VmId vm, long nowMs) {
    Member current = table.get(vm).orElse(null);
    if (current != null && current.state().rank() < MemberState.LEAVING.rank()) {
      merge(new MemberDelta(current.info(), current.incarnation(), MemberState.LEAVING), nowMs);
    }
  }

  private List<OutgoingMessage> createDepartureNotices(long nowMs) {
    List<OutgoingMessage> out = new ArrayList<>();
    for (VmId vm : randomAlive(DEPARTURE_NOTICES, local.vm())) {
      long sequence = probes.start(vm, false, 0, nowMs);
      Gossip gossip = composer.composeRequest(vm);
      out.add(new OutgoingMessage(vm, new MembershipMessage.Ping(sequence, false, gossip)));
    }
    return out;
  }

  private List<VmId> randomAlive(int count, VmId excluded) {
    List<VmId> alive =
        table.ids(
            member ->
                member.state() == MemberState.ALIVE
                    && !member.info().vm().equals(local.vm())
                    && !member.info().vm().equals(excluded));
    List<VmId> chosen = new ArrayList<>(count);
    while (chosen.size() < count && !alive.isEmpty()) {
      chosen.add(alive.remove(random.nextInt(alive.size())));
    }
    return chosen;
  }

  private boolean isProbed(VmId vm) {
    return table.get(vm).filter(this::isProbed).isPresent();
  }

  private boolean isProbed(Member member) {
    return member.state() != MemberState.DEAD && !member.info().vm().equals(local.vm());
  }

  private boolean isProbedInLocalDataCentre(Member member) {
    return isProbed(member) && member.info().dataCentre().equals(local.info().dataCentre());
  }

  private boolean isProbedInRemoteDataCentre(Member member) {
    return isProbed(member) && !member.info().dataCentre().equals(local.info().dataCentre());
  }

  private void refreshView() {
    if (view.version() != table.version()) {
      view = table.view(local.vm());
    }
  }
}
