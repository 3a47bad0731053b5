package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Chooses what a message tells its receiver, within the bounds of the settings. */
final class GossipComposer {

  private final MembershipSettings settings;
  private final MemberTable table;
  private final PeerDirectory peers;
  private final DeltaQueue queue = new DeltaQueue();
  private VmId self;
  private long configVersion;
  private long nextPageMs = Long.MIN_VALUE;

  GossipComposer(MembershipSettings settings, MemberTable table, PeerDirectory peers) {
    this.settings = settings;
    this.peers = peers;
    this.table = table;
  }

  void self(VmId vm) {
    this.self = vm;
  }

  long configVersion() {
    return configVersion;
  }

  void configVersion(long version) {
    this.configVersion = version;
  }

  int queuedDeltas() {
    return queue.size();
  }

  /** Queues a VM whose state or incarnation has changed. */
  void changed(VmId vm) {
    queue.add(vm);
  }

  void forget(VmId vm) {
    queue.remove(vm);
  }

  /** Composes a request; the receiver is told first if it is held for anything but alive. */
  Gossip compose(VmId to) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    table
        .get(to)
        .filter(member -> member.state() != MemberState.ALIVE)
        .ifPresent(member -> deltas.put(to, MemberTable.deltaOf(member)));
    addQueued(deltas);
    return gossip(deltas);
  }

  /** Composes an answer; the asker is told first if more is held of it than it says itself. */
  Gossip composeAnswer(MemberDelta asker) {
    return gossip(answerDeltas(asker));
  }

  /** Composes an answer with the page of the table that the sequence of the request names. */
  Gossip composePage(MemberDelta asker, long sequence, long nowMs) {
    Map<VmId, MemberDelta> deltas = answerDeltas(asker);
    // One page in a period bounds the bytes when many VMs start or a partition heals.
    if (nowMs >= nextPageMs) {
      nextPageMs = nowMs + settings.periodMs();
      int page = (int) (sequence & ((1 << MembershipMessage.PAGE_BITS) - 1));
      for (MemberDelta delta : table.page(page, settings.syncPageDeltas())) {
        deltas.putIfAbsent(delta.info().vm(), delta);
      }
    }
    return gossip(deltas);
  }

  private Map<VmId, MemberDelta> answerDeltas(MemberDelta asker) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    table
        .get(asker.info().vm())
        .map(MemberTable::deltaOf)
        .filter(held -> held.supersedes(asker.incarnation(), asker.state()))
        .ifPresent(held -> deltas.put(asker.info().vm(), held));
    addQueued(deltas);
    return deltas;
  }

  /** Composes an answer for another VM that leads with what the probed VM said of itself. */
  Gossip composeAbout(VmId to, MemberDelta answered) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    deltas.put(answered.info().vm(), answered);
    for (MemberDelta delta : compose(to).deltas()) {
      deltas.putIfAbsent(delta.info().vm(), delta);
    }
    return gossip(deltas);
  }

  private void addQueued(Map<VmId, MemberDelta> deltas) {
    List<VmId> vms = queue.take(settings.maxDeltas(), DeltaQueue.sendLimit(table.size()));
    for (VmId vm : vms) {
      table.get(vm).ifPresent(member -> deltas.putIfAbsent(vm, MemberTable.deltaOf(member)));
    }
  }

  private Gossip gossip(Map<VmId, MemberDelta> deltas) {
    MemberDelta sender = MemberTable.deltaOf(table.get(self).orElseThrow());
    deltas.remove(self);
    return new Gossip(
        sender,
        configVersion,
        peers.newestHeardVersion(),
        table.digest(),
        List.copyOf(deltas.values()));
  }
}
