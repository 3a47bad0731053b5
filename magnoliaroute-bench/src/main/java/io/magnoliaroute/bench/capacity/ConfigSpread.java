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
 * VMs under a virtual clock that learn of a change from the versions on probes and fetch it from
 * the VM that announced it; the log is not read.
 */
final class ConfigSpread {

  private static final long PERIOD_MS = 500;
  private static final int PUSH_BYTES = 64 * 1024;
  private static final long NEAR_MS = 1;
  private static final long FAR_MS = 40;
  private static final int CENTRES_IN_REGION = 2;
  private static final BranchName BRANCH = new BranchName("teams/changed");

  private final Random random;
  private final int centres;
  private final List<Vm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<ConfigRecord> published = new ArrayList<>();
  private long nowMs;
  private long nextOrder;
  private long exchangedBytes;

  private record Event(long atMs, long order, Runnable action) {}

  ConfigSpread(int count, int centres, long seed) {
    this.random = new Random(seed);
    this.centres = centres;
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(i % centres));
    }
    for (Vm vm : vms) {
      after(random.nextInt((int) PERIOD_MS), () -> probe(vm));
    }
  }

  /** Publishes a change on one VM and returns the time until every VM has it in force. */
  long spreadMs(String yaml) {
    Vm first = vms.get(random.nextInt(vms.size()));
    long base = published.size() - 1L;
    published.add(
        new ConfigRecord.Published("r" + base, BRANCH, base, Optional.of(yaml), "bench", nowMs));
    // Only the VM that publishes reads the log.
    for (int offset = 0; offset < published.size(); offset++) {
      first.state.apply(offset, published.get(offset));
    }
    long startMs = nowMs;
    while (vms.stream().anyMatch(vm -> vm.state.version() <= base)) {
      Event next = events.remove();
      nowMs = next.atMs();
      next.action().run();
    }
    return nowMs - startMs;
  }

  /** Returns the bytes of pulls and pushes that all VMs sent. */
  long exchangedBytes() {
    return exchangedBytes;
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextOrder++, action));
  }

  private void probe(Vm vm) {
    vm.nextNear().ifPresent(peer -> ping(vm, peer));
    vm.nextFar().ifPresent(peer -> ping(vm, peer));
    after(PERIOD_MS, () -> probe(vm));
  }

  /** Sends a probe and its acknowledgement; both carry the version of the sender. */
  private void ping(Vm from, Vm to) {
    long announced = from.state.version();
    after(
        latencyMs(from, to),
        () -> {
          learn(to, from, announced);
          long answered = to.state.version();
          after(latencyMs(to, from), () -> learn(from, to, answered));
        });
  }

  private void learn(Vm vm, Vm peer, long version) {
    Optional<ConfigPull> pull = ConfigExchange.pullIfBehind(vm.state, version);
    if (pull.isEmpty() || vm.pulledVersion >= version) {
      return;
    }
    vm.pulledVersion = version;
    exchangedBytes += ConfigCodec.encodePull(pull.get()).sizeBytes();
    after(
        latencyMs(vm, peer),
        () -> {
          ConfigPush push = ConfigExchange.pushFor(peer.state, pull.get(), PUSH_BYTES);
          exchangedBytes += ConfigCodec.encodePush(push).sizeBytes();
          after(latencyMs(peer, vm), () -> vm.state.applyPush(push));
        });
  }

  private static long latencyMs(Vm from, Vm to) {
    return from.centre / CENTRES_IN_REGION == to.centre / CENTRES_IN_REGION ? NEAR_MS : FAR_MS;
  }

  private final class Vm {

    private final int centre;
    private final ConfigState state = new ConfigState();
    private final List<Vm> near = new ArrayList<>();
    private final List<Vm> far = new ArrayList<>();
    private long pulledVersion = ConfigState.ABSENT_VERSION;

    Vm(int centre) {
      this.centre = centre;
    }

    Optional<Vm> nextNear() {
      return next(near, true);
    }

    Optional<Vm> nextFar() {
      return centres == 1 ? Optional.empty() : next(far, false);
    }

    /** Returns the next VM of a shuffled round. */
    private Optional<Vm> next(List<Vm> round, boolean sameCentre) {
      if (round.isEmpty()) {
        vms.stream()
            .filter(vm -> vm != this && (vm.centre == centre) == sameCentre)
            .forEach(round::add);
        Collections.shuffle(round, random);
      }
      return round.isEmpty() ? Optional.empty() : Optional.of(round.remove(round.size() - 1));
    }
  }
}
