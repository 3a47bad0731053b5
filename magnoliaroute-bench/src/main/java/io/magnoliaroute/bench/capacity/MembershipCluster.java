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

/** Membership controllers in one process that exchange encoded messages under a virtual clock. */
final class MembershipCluster {

  private static final int FRAME_PREFIX_BYTES = 4;
  private static final int CENTRES_PER_REGION = 2;
  private static final int PORT = 7_070;

  private final SplittableRandom random;
  private final int vmCount;
  private final int centreCount;
  private final Map<VmId, Node> nodes = new HashMap<>();
  private final List<Node> order = new ArrayList<>();
  private final PriorityQueue<Delivery> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::sequence));
  private long nowMs;
  private long sequence;
  private boolean halved;
  private long sentBytes;
  private long sentMessages;

  private record Delivery(long atMs, long sequence, Node from, VmId to, Bytes bytes) {}

  /** One VM. */
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

  MembershipCluster(int vmCount, int centreCount, long seed) {
    this.random = new SplittableRandom(seed);
    this.vmCount = vmCount;
    this.centreCount = centreCount;
    for (int i = 0; i < vmCount; i++) {
      add(i);
    }
    order.forEach(this::seed);
  }

  /** Starts one more VM, which knows the others by name and address only. */
  void join() {
    add(order.size());
    seed(order.get(order.size() - 1));
  }

  private void seed(Node node) {
    order.forEach(peer -> node.controller.addSeed(peer.info.vm(), peer.info.address()));
  }

  private void add(int index) {
    int centre = index % centreCount;
    MemberInfo info =
        new MemberInfo(
            new VmId(String.format("vm-%04d", index)),
            new DataCentreId("centre-" + centre),
            new RegionId("region-" + centre / CENTRES_PER_REGION),
            new PeerAddress("10.1." + centre + "." + (1 + index % 250), PORT));
    MembershipController controller =
        new MembershipController(
            info, 1_790_000_000_000L, MembershipSettings.defaults(), random.split(), nowMs);
    Node node = new Node(info, controller, order.size());
    nodes.put(info.vm(), node);
    order.add(node);
  }

  /** Returns the bytes sent by all VMs, frame prefixes included. */
  long sentBytes() {
    return sentBytes;
  }

  /** Returns the bytes sent so far by the VM that sent the most. */
  long mostSentBytes() {
    return order.stream().mapToLong(node -> node.sentBytes).max().orElse(0);
  }

  long sentMessages() {
    return sentMessages;
  }

  /** Advances by the time between two ticks. */
  void step() {
    long untilMs = nowMs + MembershipController.TICK_MS;
    while (!inFlight.isEmpty() && inFlight.peek().atMs() <= untilMs) {
      Delivery next = inFlight.remove();
      nowMs = Math.max(nowMs, next.atMs());
      deliver(next);
    }
    nowMs = untilMs;
    for (Node node : order) {
      if (node.running) {
        send(node, node.controller.tick(nowMs));
        adoptSettings(node);
      }
    }
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      step();
    }
  }

  /** Steps until the condition holds and returns the time taken, or -1 after the limit. */
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

  /** Crashes a running VM and returns its index. */
  int crashOne() {
    Node node = order.get(random.nextInt(vmCount));
    while (!node.running) {
      node = order.get(random.nextInt(vmCount));
    }
    node.running = false;
    return node.index;
  }

  boolean isDeadEverywhere(int index) {
    VmId vm = order.get(index).info.vm();
    return order.stream()
        .filter(node -> node.running)
        .allMatch(node -> stateAt(node, vm) == MemberState.DEAD);
  }

  /** Returns whether all running VMs hold one another for alive. */
  boolean allHoldAllAlive() {
    return wrongPairs(1) == 0;
  }

  /** Returns how many pairs of running VMs do not hold each other for alive, up to a limit. */
  int wrongPairs(int limit) {
    int wrong = 0;
    for (Node observer : order) {
      for (Node other : order) {
        boolean both = observer.running && other.running;
        if (both && !observer.controller.view().isAlive(other.info.vm())) {
          wrong++;
        }
        if (wrong >= limit) {
          return wrong;
        }
      }
    }
    return wrong;
  }

  /** Sets a settings version on one VM. Others adopt a version as soon as they hear of it. */
  void publishConfig(long version) {
    Node first = order.stream().filter(node -> node.running).findFirst().orElseThrow();
    setConfig(first, version);
  }

  boolean hasConfigEverywhere(long version) {
    return order.stream().allMatch(node -> !node.running || node.configVersion >= version);
  }

  /** Cuts the links between the data centres with odd and even numbers, or joins them. */
  void halve(boolean cut) {
    this.halved = cut;
  }

  private static MemberState stateAt(Node observer, VmId vm) {
    return observer
        .controller
        .view()
        .member(vm)
        .map(member -> member.state())
        .orElse(MemberState.DEAD);
  }

  private void adoptSettings(Node node) {
    for (MembershipEvent event : node.controller.drainEvents()) {
      if (event instanceof MembershipEvent.NewerConfigReported newer) {
        setConfig(node, newer.configVersion());
      }
    }
  }

  private static void setConfig(Node node, long version) {
    node.configVersion = version;
    node.controller.configVersion(version);
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
    if (!to.running || isCut(delivery.from(), to)) {
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
      throw new IllegalStateException("the codec cannot read what it wrote", e);
    }
  }

  private boolean isCut(Node from, Node to) {
    return halved && (from.index % centreCount + to.index % centreCount) % 2 != 0;
  }
}
