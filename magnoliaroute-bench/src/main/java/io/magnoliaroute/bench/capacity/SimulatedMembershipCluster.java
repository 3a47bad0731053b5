package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.membership.MalformedMessageException;
import io.magnoliaroute.core.membership.MemberInfo;
import io.magnoliaroute.core.membership.MemberState;
import io.magnoliaroute.core.membership.MembershipCodec;
import io.magnoliaroute.core.membership.MembershipController;
import io.magnoliaroute.core.membership.MembershipEvent;
import io.magnoliaroute.core.membership.MembershipSettings;
import io.magnoliaroute.core.membership.OutgoingMessage;
import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/** Runs membership controllers that exchange encoded messages in virtual time. */
final class SimulatedMembershipCluster {

  private static final int FRAME_PREFIX_BYTES = 4;
  private static final int DATA_CENTRES_PER_REGION = 2;
  private static final int PORT = 7_070;

  private final SplittableRandom random;
  private final int vmCount;
  private final int dataCentreCount;
  private final Map<VmId, Node> nodes = new HashMap<>();
  private final List<Node> nodesByIndex = new ArrayList<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::sequence));
  private long nowMs;
  private long sequence;
  private boolean partitioned;
  private long sentBytes;
  private long sentMessages;

  private record Delivery(long atMs, long sequence, Node from, VmId to, Bytes bytes) {}

  /** A VM of the cluster. */
  private static final class Node {
    private final MemberInfo info;
    private final MembershipController controller;
    private final int index;
    private boolean running = true;
    private long sentBytes;
    private long configVersion;

    Node(MemberInfo info, MembershipController controller, int index) {
      this.info = info;
      this.controller = controller;
      this.index = index;
    }
  }

  SimulatedMembershipCluster(int vmCount, int dataCentreCount, long seed) {
    this.random = new SplittableRandom(seed);
    this.vmCount = vmCount;
    this.dataCentreCount = dataCentreCount;
    for (int i = 0; i < vmCount; i++) {
      addNode(i);
    }
    nodesByIndex.forEach(this::addSeeds);
  }

  /** Starts another VM, with the names and addresses of the others as its seeds. */
  void join() {
    addNode(nodesByIndex.size());
    addSeeds(nodesByIndex.get(nodesByIndex.size() - 1));
  }

  private void addSeeds(Node node) {
    nodesByIndex.forEach(peer -> node.controller.addSeed(peer.info.vm(), peer.info.address()));
  }

  private void addNode(int index) {
    int dataCentre = index % dataCentreCount;
    MemberInfo info =
        new MemberInfo(
            new VmId(String.format("vm-%04d", index)),
            new DataCentreId("centre-" + dataCentre),
            new RegionId("region-" + dataCentre / DATA_CENTRES_PER_REGION),
            new PeerAddress("10.1." + dataCentre + "." + (1 + index % 250), PORT));
    MembershipController controller =
        new MembershipController(
            info, 1_790_000_000_000L, MembershipSettings.defaults(), random.split(), nowMs);
    Node node = new Node(info, controller, nodesByIndex.size());
    nodes.put(info.vm(), node);
    nodesByIndex.add(node);
  }

  /** Returns the total bytes sent by all VMs, including frame prefixes. */
  long sentBytes() {
    return sentBytes;
  }

  /** Returns the bytes sent by the VM with the most traffic. */
  long maxSentBytesPerVm() {
    return nodesByIndex.stream().mapToLong(node -> node.sentBytes).max().orElse(0);
  }

  long sentMessages() {
    return sentMessages;
  }

  /** Advances the virtual clock by one tick, delivers due messages and ticks all running VMs. */
  void step() {
    long untilMs = nowMs + MembershipController.TICK_MS;
    while (!inFlight.isEmpty() && inFlight.peek().atMs() <= untilMs) {
      Delivery next = inFlight.remove();
      nowMs = Math.max(nowMs, next.atMs());
      deliver(next);
    }
    nowMs = untilMs;
    for (Node node : nodesByIndex) {
      if (node.running) {
        send(node, node.controller.tick(nowMs));
        adoptConfigVersions(node);
      }
    }
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      step();
    }
  }

  /** Steps until the condition holds and returns the time taken in ms, or -1 after the limit. */
  long runUntil(BooleanSupplier condition, long limitMs) {
    long startMs = nowMs;
    while (!condition.getAsBoolean()) {
      if (nowMs - startMs >= limitMs) {
        return -1;
      }
      step();
    }
    return nowMs - startMs;
  }

  /** Crashes a random running VM and returns its index. */
  int crashRandomVm() {
    Node node = nodesByIndex.get(random.nextInt(vmCount));
    while (!node.running) {
      node = nodesByIndex.get(random.nextInt(vmCount));
    }
    node.running = false;
    return node.index;
  }

  boolean isDeadEverywhere(int index) {
    VmId vm = nodesByIndex.get(index).info.vm();
    return nodesByIndex.stream()
        .filter(node -> node.running)
        .allMatch(node -> stateAt(node, vm) == MemberState.DEAD);
  }

  /** Returns whether every running VM considers every other running VM alive. */
  boolean hasConverged() {
    return countUnconvergedPairs(1) == 0;
  }

  /**
   * Counts, up to the limit, in how many ordered pairs a running VM considers another not alive.
   */
  int countUnconvergedPairs(int limit) {
    int unconverged = 0;
    for (Node observer : nodesByIndex) {
      for (Node other : nodesByIndex) {
        boolean bothRunning = observer.running && other.running;
        if (bothRunning && !observer.controller.view().isAlive(other.info.vm())) {
          unconverged++;
        }
        if (unconverged >= limit) {
          return unconverged;
        }
      }
    }
    return unconverged;
  }

  /** Sets a configuration version on one VM; the others adopt it on the first message with it. */
  void publishConfigVersion(long version) {
    Node first = nodesByIndex.stream().filter(node -> node.running).findFirst().orElseThrow();
    setConfigVersion(first, version);
  }

  boolean hasConfigVersionEverywhere(long version) {
    return nodesByIndex.stream().allMatch(node -> !node.running || node.configVersion >= version);
  }

  /** Starts or ends a network partition between even-numbered and odd-numbered data centres. */
  void setPartitioned(boolean partitionActive) {
    this.partitioned = partitionActive;
  }

  private static MemberState stateAt(Node observer, VmId vm) {
    return observer
        .controller
        .view()
        .member(vm)
        .map(member -> member.state())
        .orElse(MemberState.DEAD);
  }

  private void adoptConfigVersions(Node node) {
    for (MembershipEvent event : node.controller.drainEvents()) {
      if (event instanceof MembershipEvent.NewerConfigReported newer) {
        setConfigVersion(node, newer.configVersion());
      }
    }
  }

  private static void setConfigVersion(Node node, long version) {
    node.configVersion = version;
    node.controller.setConfigVersion(version);
  }

  private void send(Node from, List<OutgoingMessage> messages) {
    for (OutgoingMessage out : messages) {
      byte[] bytes = MembershipCodec.encode(out.message());
      long size = (long) bytes.length + FRAME_PREFIX_BYTES;
      from.sentBytes += size;
      sentBytes += size;
      sentMessages++;
      inFlight.add(new Delivery(nowMs + 1, sequence++, from, out.to(), Bytes.copyOf(bytes)));
    }
  }

  private void deliver(Delivery delivery) {
    Node to = nodes.get(delivery.to());
    if (!to.running || isBlocked(delivery.from(), to)) {
      return;
    }
    try {
      send(
          to,
          to.controller.receive(
              delivery.from().info.vm(),
              MembershipCodec.decode(delivery.bytes().toArray()),
              nowMs));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("encoded message cannot be decoded", e);
    }
  }

  private boolean isBlocked(Node from, Node to) {
    return partitioned && (from.index % dataCentreCount + to.index % dataCentreCount) % 2 != 0;
  }
}
