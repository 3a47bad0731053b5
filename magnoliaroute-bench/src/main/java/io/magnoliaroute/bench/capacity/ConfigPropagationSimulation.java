package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.config.ConfigCodec;
import io.magnoliaroute.core.config.ConfigExchange;
import io.magnoliaroute.core.config.ConfigPull;
import io.magnoliaroute.core.config.ConfigPush;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates configuration exchange between VMs in virtual time. A VM detects a newer version by the
 * version field of probes and acknowledgements and pulls the change from their sender; only the
 * publishing VM reads the log.
 */
final class ConfigPropagationSimulation {

  private static final long PROBE_PERIOD_MS = 500;
  private static final int MAX_PUSH_BYTES = 64 * 1024;
  private static final long REGION_LATENCY_MS = 1;
  private static final long CROSS_REGION_LATENCY_MS = 40;
  private static final int DATA_CENTRES_PER_REGION = 2;
  private static final BranchName BRANCH = new BranchName("teams/changed");

  private final Random random;
  private final int dataCentreCount;
  private final List<Vm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final List<ConfigRecord> published = new ArrayList<>();
  private long nowMs;
  private long nextOrder;
  private long exchangedBytes;

  private record Event(long atMs, long sequence, Runnable action) {}

  ConfigPropagationSimulation(int count, int dataCentreCount, long seed) {
    this.random = new Random(seed);
    this.dataCentreCount = dataCentreCount;
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(i % dataCentreCount));
    }
    for (Vm vm : vms) {
      scheduleAfterMs(random.nextInt((int) PROBE_PERIOD_MS), () -> probePeers(vm));
    }
  }

  /** Publishes a change on a random VM and returns the time in ms until every VM has applied it. */
  long propagationMs(String yaml) {
    Vm publisher = vms.get(random.nextInt(vms.size()));
    long baseVersion = published.size() - 1L;
    published.add(
        new ConfigRecord.Published(
            "r" + baseVersion, BRANCH, baseVersion, Optional.of(yaml), "bench", nowMs));
    // The other VMs receive the change from their peers.
    for (int offset = 0; offset < published.size(); offset++) {
      publisher.state.apply(offset, published.get(offset));
    }
    long startMs = nowMs;
    while (vms.stream().anyMatch(vm -> vm.state.version() <= baseVersion)) {
      Event next = events.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    return nowMs - startMs;
  }

  /** Returns the total bytes of pulls and pushes that were sent so far. */
  long exchangedBytes() {
    return exchangedBytes;
  }

  private void scheduleAfterMs(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextOrder++, action));
  }

  private void probePeers(Vm vm) {
    vm.nextLocalPeer().ifPresent(peer -> sendProbe(vm, peer));
    vm.nextRemotePeer().ifPresent(peer -> sendProbe(vm, peer));
    scheduleAfterMs(PROBE_PERIOD_MS, () -> probePeers(vm));
  }

  /** Sends a probe and its acknowledgement, both with the version of their sender. */
  private void sendProbe(Vm from, Vm to) {
    long probeVersion = from.state.version();
    scheduleAfterMs(
        latencyMs(from, to),
        () -> {
          pullIfBehind(to, from, probeVersion);
          long acknowledgedVersion = to.state.version();
          scheduleAfterMs(latencyMs(to, from), () -> pullIfBehind(from, to, acknowledgedVersion));
        });
  }

  private void pullIfBehind(Vm vm, Vm peer, long version) {
    Optional<ConfigPull> pull = ConfigExchange.pullIfBehind(vm.state, version);
    if (pull.isEmpty() || vm.pulledVersion >= version) {
      return;
    }
    vm.pulledVersion = version;
    exchangedBytes += ConfigCodec.encodePull(pull.get()).sizeBytes();
    scheduleAfterMs(
        latencyMs(vm, peer),
        () -> {
          ConfigPush push = ConfigExchange.pushFor(peer.state, pull.get(), MAX_PUSH_BYTES);
          exchangedBytes += ConfigCodec.encodePush(push).sizeBytes();
          scheduleAfterMs(latencyMs(peer, vm), () -> vm.state.applyPush(push));
        });
  }

  private static long latencyMs(Vm from, Vm to) {
    return from.dataCentre / DATA_CENTRES_PER_REGION == to.dataCentre / DATA_CENTRES_PER_REGION
        ? REGION_LATENCY_MS
        : CROSS_REGION_LATENCY_MS;
  }

  private final class Vm {

    private final int dataCentre;
    private final ConfigState state = new ConfigState();
    private final List<Vm> localPeers = new ArrayList<>();
    private final List<Vm> remotePeers = new ArrayList<>();
    private long pulledVersion = ConfigState.ABSENT_VERSION;

    Vm(int dataCentre) {
      this.dataCentre = dataCentre;
    }

    Optional<Vm> nextLocalPeer() {
      return nextPeer(localPeers, true);
    }

    Optional<Vm> nextRemotePeer() {
      return dataCentreCount == 1 ? Optional.empty() : nextPeer(remotePeers, false);
    }

    /** Returns the next peer of the current probe round; a new round is shuffled. */
    private Optional<Vm> nextPeer(List<Vm> remaining, boolean sameDataCentre) {
      if (remaining.isEmpty()) {
        vms.stream()
            .filter(vm -> vm != this && (vm.dataCentre == dataCentre) == sameDataCentre)
            .forEach(remaining::add);
        Collections.shuffle(remaining, random);
      }
      return remaining.isEmpty()
          ? Optional.empty()
          : Optional.of(remaining.remove(remaining.size() - 1));
    }
  }
}
