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

/** Membership controllers joined by a message network with faults, under a virtual clock. */
final class SimulatedNetwork {

  static final MembershipSettings SETTINGS = MembershipSettings.defaults();

  final Random random;
  final Map<VmId, Host> hosts = new LinkedHashMap<>();
  long nowMs;
  double loss;
  double duplication;
  long maxDelayMs = 2;
  final Set<List<Object>> cutLinks = new HashSet<>();

  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
  private long sent;

  private record Delivery(long atMs, long order, VmId from, VmId to, MembershipMessage message) {}

  /** One VM: a controller and what happened to it. */
  static final class Host {
    final MemberInfo info;
    MembershipController controller;
    long runsFromMs;
    long pausedUntilMs;
    long clockErrorMs;
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

  SimulatedNetwork(long seed, int dataCentres, int vmsPerCentre) {
    this.random = new Random(seed);
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < vmsPerCentre; i++) {
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

  /** Cuts or joins all links from one set of VMs to the other, in this direction. */
  void link(Host from, Host to, boolean open) {
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
          link(a, b, false);
        }
      }
    }
  }

  void healAll() {
    cutLinks.clear();
    loss = 0;
    duplication = 0;
    maxDelayMs = 2;
  }

  void send(VmId from, List<Outgoing> messages) {
    for (Outgoing out : messages) {
      if (cutLinks.contains(List.<Object>of(from, out.to())) || random.nextDouble() < loss) {
        continue;
      }
      int copies = random.nextDouble() < duplication ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        long atMs = nowMs + 1 + random.nextLong(maxDelayMs);
        inFlight.add(new Delivery(atMs, sent++, from, out.to(), out.message()));
      }
    }
  }

  /** Advances by one tick of every VM, delivering what arrives before it in order of time. */
  void step() {
    long untilMs = nowMs + MembershipController.TICK_MS;
    while (!inFlight.isEmpty() && inFlight.peek().atMs() <= untilMs) {
      Delivery next = inFlight.remove();
      nowMs = Math.max(nowMs, next.atMs());
      arrive(next);
    }
    nowMs = untilMs;
    for (Host host : hosts.values()) {
      if (host.running && host.pausedUntilMs <= nowMs) {
        if (!host.inbox.isEmpty() && random.nextBoolean()) {
          // After a pause the timer may come before the messages that waited.
          send(host.info.vm(), host.controller.tick(nowMs + host.clockErrorMs));
        }
        List<Delivery> waiting = new ArrayList<>(host.inbox);
        host.inbox.clear();
        waiting.forEach(this::arrive);
        send(host.info.vm(), host.controller.tick(nowMs + host.clockErrorMs));
        host.events.addAll(host.controller.takeEvents());
      }
    }
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      step();
    }
  }

  /** Steps until the condition holds and returns the time taken; fails after the limit. */
  long runUntil(java.util.function.BooleanSupplier condition, long limitMs, String what) {
    long startMs = nowMs;
    while (!condition.getAsBoolean()) {
      if (nowMs - startMs >= limitMs) {
        throw new AssertionError(what + " not reached within " + limitMs + " ms: " + differences());
      }
      step();
    }
    return nowMs - startMs;
  }

  private void arrive(Delivery delivery) {
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
        host.controller.receive(delivery.from(), delivery.message(), nowMs + host.clockErrorMs));
    requireAnswerCounts(host, delivery);
  }

  // A VM that has just said that it lives must not be held for dead in the same life.
  private static void requireAnswerCounts(Host host, Delivery delivery) {
    MemberDelta said = delivery.message().gossip().sender();
    Member held = host.controller.view().member(delivery.from()).orElse(null);
    boolean older =
        held == null
            || held.incarnation() < said.incarnation()
            || (held.incarnation() == said.incarnation()
                && held.state().rank() < said.state().rank());
    if (older) {
      throw new AssertionError(host.info.vm() + " holds " + held + " after it was told " + said);
    }
  }

  List<Host> running() {
    return hosts.values().stream().filter(host -> host.running).toList();
  }

  /** Returns whether every running VM holds all running ones for alive and the rest for dead. */
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

  /** Describes every wrong entry, for the message of a failed check. */
  String differences() {
    StringBuilder text = new StringBuilder();
    for (Host observer : running()) {
      for (Host other : hosts.values()) {
        MemberState expected = other.running ? MemberState.ALIVE : MemberState.DEAD;
        if (observer.stateOf(other.info.vm()) != expected) {
          text.append(observer.info.vm()).append(" holds ").append(other.info.vm());
          text.append(" for ").append(observer.stateOf(other.info.vm())).append("; ");
        }
      }
    }
    return text.toString();
  }

  /** The longest round of a VM: its peers in its data centre, or all VMs elsewhere. */
  private int longestRound() {
    int centres = (int) hosts.values().stream().map(h -> h.info.dataCentre()).distinct().count();
    int perCentre = hosts.size() / centres;
    return Math.max(perCentre - 1, hosts.size() - perCentre);
  }

  /**
   * The time within which each VM finds a crash by itself: a VM is probed every 2m - 1 periods at
   * the latest, the probe times out, the suspicion runs out, and both are seen at a tick.
   */
  long crashBoundMs() {
    return (2L * longestRound() - 1) * SETTINGS.periodMs()
        + SETTINGS.probeTimeoutMs()
        + SETTINGS.suspicionMs()
        + 3 * MembershipController.TICK_MS;
  }

  /** The time within which each VM probes every dead one by itself after the network heals. */
  long healBoundMs() {
    return (2L * (hosts.size() - 1) - 1) * SETTINGS.absentProbePeriodMs()
        + SETTINGS.probeTimeoutMs()
        + MembershipController.TICK_MS;
  }
}
