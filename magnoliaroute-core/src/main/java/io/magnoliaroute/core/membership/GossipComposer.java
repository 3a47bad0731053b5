package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Composes the gossip of each outgoing message, within the limits of the settings. */
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

  void setSelf(VmId vm) {
    this.self = vm;
  }

  long configVersion() {
    return configVersion;
  }

  void setConfigVersion(long version) {
    this.configVersion = version;
  }

  int queuedDeltas() {
    return queue.size();
  }

  /** Queues a VM whose state or incarnation has changed. */
  void enqueue(VmId vm) {
    queue.add(vm);
  }

  void removeQueued(VmId vm) {
    queue.remove(vm);
  }

  /**
   * Composes the gossip of a request. If the table does not list the receiver as alive, the
   * receiver's own entry comes first.
   */
  Gossip composeRequest(VmId to) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    table
        .get(to)
        .filter(member -> member.state() != MemberState.ALIVE)
        .ifPresent(member -> deltas.put(to, MemberTable.toDelta(member)));
    addQueued(deltas);
    return gossip(deltas);
  }

  /**
   * Composes the gossip of an ack. If the table's entry for the requester supersedes what the
   * requester reported about itself, that entry comes first.
   */
  Gossip composeAck(MemberDelta requester) {
    return gossip(ackDeltas(requester));
  }

  /**
   * Composes the gossip of an ack, with the table page whose number is encoded in the low bits of
   * the request's sequence.
   */
  Gossip composeAckWithPage(MemberDelta requester, long sequence, long nowMs) {
    Map<VmId, MemberDelta> deltas = ackDeltas(requester);
    // Sending at most one page per period bounds traffic when many VMs start or a partition heals.
    if (nowMs >= nextPageMs) {
      nextPageMs = nowMs + settings.periodMs();
      int page = (int) (sequence & ((1 << MembershipMessage.PAGE_BITS) - 1));
      for (MemberDelta delta : table.page(page, settings.syncPageDeltas())) {
        deltas.putIfAbsent(delta.info().vm(), delta);
      }
    }
    return gossip(deltas);
  }

  private Map<VmId, MemberDelta> ackDeltas(MemberDelta requester) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    table
        .get(requester.info().vm())
        .map(MemberTable::toDelta)
        .filter(current -> current.supersedes(requester.incarnation(), requester.state()))
        .ifPresent(current -> deltas.put(requester.info().vm(), current));
    addQueued(deltas);
    return deltas;
  }

  /** Composes the gossip of a relayed ack, with the target's report about itself first. */
  Gossip composeRelayedAck(VmId to, MemberDelta targetReport) {
    Map<VmId, MemberDelta> deltas = new LinkedHashMap<>();
    deltas.put(targetReport.info().vm(), targetReport);
    for (MemberDelta delta : composeRequest(to).deltas()) {
      deltas.putIfAbsent(delta.info().vm(), delta);
    }
    return gossip(deltas);
  }

  private void addQueued(Map<VmId, MemberDelta> deltas) {
    List<VmId> vms = queue.take(settings.maxDeltas(), DeltaQueue.sendLimit(table.size()));
    for (VmId vm : vms) {
      table.get(vm).ifPresent(member -> deltas.putIfAbsent(vm, MemberTable.toDelta(member)));
    }
  }

  private Gossip gossip(Map<VmId, MemberDelta> deltas) {
    MemberDelta sender = MemberTable.toDelta(table.get(self).orElseThrow());
    deltas.remove(self);
    return new Gossip(
        sender,
        configVersion,
        peers.newestKnownVersion(),
        table.digest(),
        List.copyOf(deltas.values()));
  }
}
