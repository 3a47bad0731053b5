package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Membership controllers connected by a simulated network with faults, under a virtual clock. */
final class SimulatedNetwork {

  static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  final Random random;
  final Map<VmId, Host> hosts = new LinkedHashMap<>();
  long nowMs;
  double lossRate;
  double duplicationRate;
  long maxDelayMs = 2;
  final Set<List<Object>> cutLinks = new HashSet<>();

  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
  private long sentCount;

  private record Delivery(long atMs, long order, VmId from, VmId to, MembershipMessage message) {}

  /**
   * One VM: its controller, its faults, its events and the messages that arrived during a pause.
   */
  static final class Host {
    final MemberInfo info;
    MembershipController controller;
    long runsFromMs;
    long pausedUntilMs;
    long clockOffsetMs;
    boolean running;
    final List<MembershipEvent> events = new ArrayList<>();
    final List<Delivery> inbox = new ArrayList<>();

    Host(MemberInfo info) {
      this.info = info;
    }

    MemberState stateOf(VmId vm) {
      return controller.view().member(vm).map(Member::state).orElse(MemberState.DEAD);
    }
  }

  SimulatedNetwork(long seed, int dataCentres, int vmsPerDataCentre) {
    this.random = new Random(seed);
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < vmsPerDataCentre; i++) {
        MemberInfo info = info("vm-" + dc + "-" + i, "dc-" + dc);
        hosts.put(info.vm(), new Host(info));
      }
    }
    hosts.values().forEach(this::start);
  }

  static MemberInfo info(String vm, String dataCentre) {
    PeerAddress address = new PeerAddress("127.0.0.1", 7000);
    return new MemberInfo(
        new VmId(vm), new DataCentreId(dataCentre), new RegionId("region"), address);
  }

  void start(Host host) {
    host.running = true;
    host.runsFromMs = nowMs;
    host.pausedUntilMs = 0;
    host.inbox.clear();
    host.controller =
        new MembershipController(
            host.info, 1_000_000 + nowMs, SETTINGS, new Random(random.nextLong()), nowMs);
    for (Host peer : hosts.values()) {
      host.controller.addSeed(peer.info.vm(), peer.info.address());
    }
  }

  /** Opens or cuts the link from one VM to another, in this direction only. */
  void setLink(Host from, Host to, boolean open) {
    List<Object> link = List.of(from.info.vm(), to.info.vm());
    if (open) {
      cutLinks.remove(link);
    } else {
      cutLinks.add(link);
    }
  }

  void partition(String dataCentre) {
    for (Host a : hosts.values()) {
      for (Host b : hosts.values()) {
        boolean inside = a.info.dataCentre().value().equals(dataCentre);
        if (inside != b.info.dataCentre().value().equals(dataCentre)) {
          setLink(a, b, false);
        }
      }
    }
  }

  void clearFaults() {
    cutLinks.clear();
    lossRate = 0;
    duplicationRate = 0;
    maxDelayMs = 2;
  }

  void send(VmId from, List<OutgoingMessage> messages) {
    for (OutgoingMessage out : messages) {
      if (cutLinks.contains(List.<Object>of(from, out.to())) || random.nextDouble() < lossRate) {
        continue;
      }
      int copies = random.nextDouble() < duplicationRate ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        long atMs = nowMs + 1 + random.nextLong(maxDelayMs);
        inFlight.add(new Delivery(atMs, sentCount++, from, out.to(), out.message()));
      }
    }
  }

  /** Advances the time by one tick, delivers the messages due until then and ticks every VM. */
  void step() {
    long untilMs = nowMs + MembershipController.TICK_MS;
    while (!inFlight.isEmpty() && inFlight.peek().atMs() <= untilMs) {
      Delivery next = inFlight.remove();
      nowMs = Math.max(nowMs, next.atMs());
      deliver(next);
    }
    nowMs = untilMs;
    for (Host host : hosts.values()) {
      if (host.running && host.pausedUntilMs <= nowMs) {
        if (!host.inbox.isEmpty() && random.nextBoolean()) {
          // After a pause, the timer may fire before the queued messages are delivered.
          send(host.info.vm(), host.controller.tick(nowMs + host.clockOffsetMs));
        }
        List<Delivery> queued = new ArrayList<>(host.inbox);
        host.inbox.clear();
        queued.forEach(this::deliver);
        send(host.info.vm(), host.controller.tick(nowMs + host.clockOffsetMs));
        host.events.addAll(host.controller.drainEvents());
      }
    }
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      step();
    }
  }

  /** Steps until the condition holds and returns the elapsed time; fails after the limit. */
  long runUntil(java.util.function.BooleanSupplier condition, long limitMs, String goal) {
    long startMs = nowMs;
    while (!condition.getAsBoolean()) {
      if (nowMs - startMs >= limitMs) {
        throw new AssertionError(
            goal + " not reached within " + limitMs + " ms: " + describeDifferences());
      }
      step();
    }
    return nowMs - startMs;
  }

  private void deliver(Delivery delivery) {
    Host host = hosts.get(delivery.to());
    if (host == null || !host.running) {
      return;
    }
    if (host.pausedUntilMs > nowMs) {
      host.inbox.add(delivery);
      return;
    }
    send(
        delivery.to(),
        host.controller.receive(delivery.from(), delivery.message(), nowMs + host.clockOffsetMs));
    requireUpToDateEntry(host, delivery);
  }

  // After a message is received, the receiver's entry of the sender must not be older than what the
  // sender reported about itself.
  private static void requireUpToDateEntry(Host host, Delivery delivery) {
    MemberDelta reported = delivery.message().gossip().sender();
    Member current = host.controller.view().member(delivery.from()).orElse(null);
    boolean outdated =
        current == null
            || current.incarnation() < reported.incarnation()
            || (current.incarnation() == reported.incarnation()
                && current.state().rank() < reported.state().rank());
    if (outdated) {
      throw new AssertionError(
          host.info.vm() + " has " + current + " after receiving the report " + reported);
    }
  }

  List<Host> running() {
    return hosts.values().stream().filter(host -> host.running).toList();
  }

  /** Returns whether every running VM lists all running VMs as alive and all others as dead. */
  boolean isConverged() {
    for (Host observer : running()) {
      for (Host other : hosts.values()) {
        MemberState expected = other.running ? MemberState.ALIVE : MemberState.DEAD;
        if (observer.stateOf(other.info.vm()) != expected) {
          return false;
        }
      }
    }
    return true;
  }

  /** Describes every wrong entry, for the message of a failed assertion. */
  String describeDifferences() {
    StringBuilder text = new StringBuilder();
    for (Host observer : running()) {
      for (Host other : hosts.values()) {
        MemberState expected = other.running ? MemberState.ALIVE : MemberState.DEAD;
        if (observer.stateOf(other.info.vm()) != expected) {
          text.append(observer.info.vm()).append(" lists ").append(other.info.vm());
          text.append(" as ").append(observer.stateOf(other.info.vm())).append("; ");
        }
      }
    }
    return text.toString();
  }

  /**
   * Returns the length of the longest probe round of a VM: its peers in its own data centre, or all
   * VMs in other data centres.
   */
  private int longestRound() {
    int dataCentreCount =
        (int) hosts.values().stream().map(host -> host.info.dataCentre()).distinct().count();
    int vmsPerDataCentre = hosts.size() / dataCentreCount;
    return Math.max(vmsPerDataCentre - 1, hosts.size() - vmsPerDataCentre);
  }

  /**
   * Returns the time within which each VM detects a crash without gossip: a VM is probed at least
   * every 2m - 1 periods, the probe times out, the suspicion expires, and both timeouts are handled
   * at a tick.
   */
  long crashBoundMs() {
    return (2L * longestRound() - 1) * SETTINGS.periodMs()
        + SETTINGS.probeTimeoutMs()
        + SETTINGS.suspicionMs()
        + 3 * MembershipController.TICK_MS;
  }

  /** Returns the time within which each VM probes every dead VM after the network heals. */
  long healBoundMs() {
    return (2L * (hosts.size() - 1) - 1) * SETTINGS.absentProbePeriodMs()
        + SETTINGS.probeTimeoutMs()
        + MembershipController.TICK_MS;
  }
}
