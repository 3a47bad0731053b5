package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Keeps the table of VMs of this VM by partial probing.
 *
 * <p>One event loop calls all methods but {@link #view}, which any thread may call. No method
 * blocks. The caller sends what {@link #tick} and {@link #receive} return, passes on what {@link
 * #takeEvents} returns, and calls {@link #tick} every {@link #TICK_MS}.
 */
public final class MembershipController {

  /** The time between two ticks that the periods are made for. */
  public static final long TICK_MS = 100;

  /** Suspects probed again in a period, so that they hear of the suspicion and can refute it. */
  private static final int SUSPECT_PROBES = 2;

  /** VMs told at once that this VM leaves or has stopped. */
  private static final int FAREWELLS = 3;

  private final MembershipSettings settings;
  private final RandomGenerator random;
  private final LocalMember local;
  private final MemberTable table;
  private final PeerDirectory peers = new PeerDirectory();
  private final ProbeTracker probes;
  private final GossipComposer composer;
  private final ProbeRound ownCentreRound;
  private final ProbeRound otherCentresRound;
  private final ProbeRound absentRound;
  private final TableSync sync;
  private final SteadyTime time;
  private final EventBuffer events = new EventBuffer();

  private volatile MembershipView view;
  private long lastTickMs;
  private long nextProbeMs;
  private long nextAbsentProbeMs;

  /**
   * Makes the controller of a VM that has just started.
   *
   * @param self this VM
   * @param startIncarnation higher than that of any earlier life of this VM, such as the start time
   *     in ms; a lower one is raised when peers report the earlier life
   * @param settings periods and bounds
   * @param random chooses probe order and helpers
   * @param nowMs the time
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
    this.ownCentreRound = new ProbeRound(random);
    this.otherCentresRound = new ProbeRound(random);
    this.absentRound = new ProbeRound(random);
    this.time = new SteadyTime(nowMs);
    this.lastTickMs = nowMs;
    // Spreads the probes of VMs that start together over the period.
    this.nextProbeMs = nowMs + random.nextLong(settings.periodMs());
    this.nextAbsentProbeMs = nextProbeMs;
    this.sync = new TableSync(settings, nextProbeMs);
    this.view = table.view(self.vm());
  }

  /** Advances timers; sends probes that are due and settles those that were not answered. */
  public List<Outgoing> tick(long clockMs) {
    if (local.hasStopped()) {
      return List.of();
    }
    long nowMs = time.at(clockMs);
    noteTime(nowMs);
    lastTickMs = nowMs;
    List<Outgoing> out = new ArrayList<>();
    settleSuspects(nowMs);
    settleProbes(nowMs, out);
    if (nowMs >= nextProbeMs) {
      nextProbeMs = nowMs + settings.periodMs();
      probeMembers(nowMs, out);
    }
    if (nowMs >= nextAbsentProbeMs) {
      probeAbsent(nowMs, out);
    }
    for (VmId vm : table.forgetDead(nowMs, settings.deadRetentionMs())) {
      composer.forget(vm);
    }
    refreshView();
    return out;
  }

  /** Takes in a message; {@code from} is the VM that the connection was authenticated for. */
  public List<Outgoing> receive(VmId from, MembershipMessage m, long clockMs) {
    MemberDelta sender = m.gossip().sender();
    if (local.hasStopped() || from.equals(local.vm()) || !sender.info().vm().equals(from)) {
      return List.of();
    }
    long nowMs = time.at(clockMs);
    noteTime(nowMs);
    peers.heardOf(m.gossip().listVersion());
    merge(sender, nowMs);
    int news = 0;
    for (MemberDelta delta : m.gossip().deltas()) {
      news += merge(delta, nowMs) ? 1 : 0;
    }
    events.configVersionSeen(from, m.gossip().configVersion(), composer.configVersion(), nowMs);
    List<Outgoing> out = new ArrayList<>();
    if (m instanceof MembershipMessage.Ping ping) {
      out.add(answer(from, ping, nowMs));
    } else if (m instanceof MembershipMessage.PingReq request) {
      relay(from, request, nowMs, out);
    } else if (m instanceof MembershipMessage.Ack ack) {
      acknowledge(from, ack, news, nowMs, out);
    }
    refreshView();
    return out;
  }

  /** Returns the current snapshot. */
  public MembershipView view() {
    return view;
  }

  /** Returns what has happened since the last call, in order. */
  public List<MembershipEvent> takeEvents() {
    return events.take();
  }

  /**
   * Takes in an answer of the platform's VM list. It adds VMs to probe and marks leaving ones; it
   * never makes a VM alive or dead. An answer that is not newer than the last is ignored. Only the
   * marked VM lifts its mark, when the newest list that any VM has heard of names it live and it
   * has not begun to stop.
   */
  public void applyPlatformList(PlatformList list, long clockMs) {
    if (!peers.apply(list)) {
      return;
    }
    long nowMs = time.at(clockMs);
    for (VmId vm : peers.leaving()) {
      markLeaving(vm, nowMs);
    }
    local.liftPlatformMark(nowMs);
    refreshView();
  }

  /** Adds a peer from the process settings, to be probed until it answers. */
  public void addSeed(VmId vm, PeerAddress address) {
    peers.addSeed(vm, address);
  }

  /** Sets the settings version in force on this VM, which probes and acks carry. */
  public void configVersion(long version) {
    composer.configVersion(version);
  }

  /** Marks this VM as leaving and returns messages that spread the mark at once. */
  public List<Outgoing> leave(long clockMs) {
    long nowMs = time.at(clockMs);
    local.leave(nowMs);
    refreshView();
    return farewells(nowMs);
  }

  /** Returns messages that tell peers that this VM has stopped; the last call before the exit. */
  public List<Outgoing> stopped(long clockMs) {
    long nowMs = time.at(clockMs);
    local.stop(nowMs);
    refreshView();
    return farewells(nowMs);
  }

  /** Returns where peers reach the VM, from the table or from the seeds. */
  public Optional<PeerAddress> address(VmId vm) {
    Optional<PeerAddress> held = table.get(vm).map(member -> member.info().address());
    return held.isPresent() ? held : peers.address(vm);
  }

  /**
   * Returns whether this VM's table has been equal to that of another VM since the start. Until
   * then it chooses owners from a part of the VMs, so that it should not report itself as ready
   * unless it is the first of its region.
   */
  public boolean hasSynchronised() {
    return sync.hasSynchronised();
  }

  /** Returns the changes that wait to be passed on, for metrics. */
  public int queuedDeltas() {
    return composer.queuedDeltas();
  }

  // A VM that could not listen for a while must not judge others by the answers that it missed.
  private void noteTime(long nowMs) {
    long gapMs = nowMs - lastTickMs;
    if (gapMs <= settings.directTimeoutMs()) {
      return;
    }
    lastTickMs = nowMs;
    probes.clear();
    table.extendSuspicions(gapMs);
    if (gapMs > settings.suspicionMs()) {
      local.paused(gapMs, nowMs);
    }
  }

  private void settleSuspects(long nowMs) {
    for (VmId vm : table.overdueSuspects(nowMs)) {
      Member held = table.get(vm).orElseThrow();
      merge(new MemberDelta(held.info(), held.incarnation(), MemberState.DEAD), nowMs);
    }
  }

  private void settleProbes(long nowMs, List<Outgoing> out) {
    for (ProbeTracker.Probe probe : probes.takeOverdueDirect(nowMs, settings.directTimeoutMs())) {
      for (VmId helper : randomLive(settings.indirectProbes(), probe.target())) {
        Gossip gossip = composer.compose(helper);
        out.add(
            new Outgoing(
                helper, new MembershipMessage.PingReq(probe.sequence(), probe.target(), gossip)));
      }
    }
    for (ProbeTracker.Probe probe : probes.takeUnanswered(nowMs, settings.probeTimeoutMs())) {
      if (probe.judged()) {
        suspect(probe.target(), nowMs);
      }
    }
  }

  private void suspect(VmId vm, long nowMs) {
    Member held = table.get(vm).orElse(null);
    if (held == null) {
      return;
    }
    if (held.state() == MemberState.LEAVING) {
      table.suspectLeaving(vm, nowMs);
      return;
    }
    merge(new MemberDelta(held.info(), held.incarnation(), MemberState.SUSPECT), nowMs);
  }

  private void probeMembers(long nowMs, List<Outgoing> out) {
    ownCentreRound
        .next(() -> table.ids(this::isProbedInOwnCentre), this::isProbed)
        .ifPresent(vm -> probe(vm, true, nowMs, out));
    otherCentresRound
        .next(() -> table.ids(this::isProbedElsewhere), this::isProbed)
        .ifPresent(vm -> probe(vm, true, nowMs, out));
    List<VmId> suspects = table.suspects();
    for (int i = 0; i < SUSPECT_PROBES && !suspects.isEmpty(); i++) {
      VmId suspect = suspects.remove(random.nextInt(suspects.size()));
      probe(suspect, false, nowMs, out);
    }
  }

  private void probeAbsent(long nowMs, List<Outgoing> out) {
    boolean alone = table.ids(this::isProbed).isEmpty();
    nextAbsentProbeMs = nowMs + (alone ? settings.periodMs() : settings.absentProbePeriodMs());
    absentRound
        .next(() -> peers.absent(table), vm -> peers.isAbsent(vm, table))
        .ifPresent(vm -> probe(vm, false, nowMs, out));
  }

  private void probe(VmId target, boolean judged, long nowMs, List<Outgoing> out) {
    long sequence = probes.start(target, judged, sync.nextPage(), nowMs);
    Gossip gossip = composer.compose(target);
    out.add(
        new Outgoing(target, new MembershipMessage.Ping(sequence, sync.takeDue(nowMs), gossip)));
  }

  private Outgoing answer(VmId from, MembershipMessage.Ping ping, long nowMs) {
    boolean differs = ping.gossip().tableDigest() != table.digest();
    boolean withPage = ping.tableWanted() && differs;
    Gossip gossip =
        withPage
            ? composer.composePage(ping.gossip().sender(), ping.sequence(), nowMs)
            : composer.composeAnswer(ping.gossip().sender());
    return new Outgoing(from, new MembershipMessage.Ack(ping.sequence(), gossip));
  }

  private void relay(VmId from, MembershipMessage.PingReq request, long nowMs, List<Outgoing> out) {
    VmId target = request.target();
    if (target.equals(local.vm()) || table.get(target).isEmpty()) {
      return;
    }
    probes
        .startRelay(from, request.sequence(), target, nowMs)
        .ifPresent(
            sequence ->
                out.add(
                    new Outgoing(
                        target,
                        new MembershipMessage.Ping(sequence, false, composer.compose(target)))));
  }

  private void acknowledge(
      VmId from, MembershipMessage.Ack ack, int news, long nowMs, List<Outgoing> out) {
    Optional<ProbeTracker.Probe> probe = probes.answered(ack.sequence());
    if (probe.isPresent()) {
      table.clearLeavingSuspicion(probe.get().target());
      sync.answered(ack.gossip().tableDigest() != table.digest(), news, nowMs);
      return;
    }
    probes
        .relayAnswered(ack.sequence(), from)
        .ifPresent(relay -> out.add(passOn(relay, ack.gossip().sender())));
  }

  private Outgoing passOn(ProbeTracker.Relay relay, MemberDelta answered) {
    Gossip gossip = composer.composeAbout(relay.origin(), answered);
    return new Outgoing(relay.origin(), new MembershipMessage.Ack(relay.originSequence(), gossip));
  }

  private boolean merge(MemberDelta delta, long nowMs) {
    VmId vm = delta.info().vm();
    if (vm.equals(local.vm())) {
      local.reported(delta, nowMs);
      return false;
    }
    Optional<Member> before = table.get(vm);
    if (!table.merge(delta, nowMs)) {
      return false;
    }
    composer.changed(vm);
    MemberState from = before.map(Member::state).orElse(MemberState.DEAD);
    events.stateChanged(vm, from, delta.state(), delta.incarnation());
    if (before.isEmpty() && peers.leaving().contains(vm)) {
      markLeaving(vm, nowMs);
    }
    return true;
  }

  private void markLeaving(VmId vm, long nowMs) {
    Member held = table.get(vm).orElse(null);
    if (held != null && held.state().rank() < MemberState.LEAVING.rank()) {
      merge(new MemberDelta(held.info(), held.incarnation(), MemberState.LEAVING), nowMs);
    }
  }

  private List<Outgoing> farewells(long nowMs) {
    List<Outgoing> out = new ArrayList<>();
    for (VmId vm : randomLive(FAREWELLS, local.vm())) {
      long sequence = probes.start(vm, false, 0, nowMs);
      Gossip gossip = composer.compose(vm);
      out.add(new Outgoing(vm, new MembershipMessage.Ping(sequence, false, gossip)));
    }
    return out;
  }

  private List<VmId> randomLive(int count, VmId except) {
    List<VmId> live =
        table.ids(
            member ->
                member.state() == MemberState.ALIVE
                    && !member.info().vm().equals(local.vm())
                    && !member.info().vm().equals(except));
    List<VmId> chosen = new ArrayList<>(count);
    while (chosen.size() < count && !live.isEmpty()) {
      chosen.add(live.remove(random.nextInt(live.size())));
    }
    return chosen;
  }

  private boolean isProbed(VmId vm) {
    return table.get(vm).filter(this::isProbed).isPresent();
  }

  private boolean isProbed(Member member) {
    return member.state() != MemberState.DEAD && !member.info().vm().equals(local.vm());
  }

  private boolean isProbedInOwnCentre(Member member) {
    return isProbed(member) && member.info().dataCentre().equals(local.info().dataCentre());
  }

  private boolean isProbedElsewhere(Member member) {
    return isProbed(member) && !member.info().dataCentre().equals(local.info().dataCentre());
  }

  private void refreshView() {
    if (view.version() != table.version()) {
      view = table.view(local.vm());
    }
  }
}
