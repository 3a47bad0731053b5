package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.HomeVms;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The other VMs, as far as they keep turns, and the requests to them. Used on one event loop. */
final class TurnPeers {

  /** Time-out after which the other VM counts as unreachable. */
  private static final long PEER_TIMEOUT_MS = 400;

  private final Vertx vertx;
  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final Map<Integer, List<VmEntry>> rankings = new HashMap<>();
  private long rankedAtRevision = -1;

  TurnPeers(Vertx vertx, VmEntry self, VmDirectory vmDirectory, PeerConnections peers) {
    this.vertx = vertx;
    this.self = self;
    this.vmDirectory = vmDirectory;
    this.peers = peers;
  }

  String ownName() {
    return self.vm().value();
  }

  boolean isSelf(VmEntry vm) {
    return vm.vm().equals(self.vm());
  }

  /** Returns whether this VM is about to end, so that its records have to be stored soon. */
  boolean isStopping() {
    return vmDirectory.isDeregistered();
  }

  int vmCount() {
    return vmDirectory.size();
  }

  /** Returns the reachable VMs that can hold a partition, in order of precedence. */
  List<VmEntry> homes(int partition, int limit) {
    if (vmDirectory.revision() != rankedAtRevision) {
      rankings.clear();
      rankedAtRevision = vmDirectory.revision();
    }
    List<VmEntry> ranked =
        rankings.computeIfAbsent(partition, number -> HomeVms.ranked(number, vmDirectory.all()));
    List<VmEntry> homes = new ArrayList<>();
    for (VmEntry vm : ranked) {
      if (isAvailable(vm)) {
        homes.add(vm);
      }
      if (homes.size() >= limit) {
        break;
      }
    }
    return homes;
  }

  // A VM that is stopping leaves the records to those that remain.
  private boolean isAvailable(VmEntry vm) {
    return isSelf(vm) ? !vmDirectory.isDeregistered() : !peers.isUnreachable(vm.address());
  }

  boolean isReachable(VmEntry vm) {
    return !peers.isUnreachable(vm.address());
  }

  long unreachableForMs(VmEntry vm) {
    return peers.unreachableForMs(vm.address());
  }

  /** Returns all other registered VMs that know the messages of kept turns. */
  List<VmEntry> others() {
    List<VmEntry> others = new ArrayList<>();
    for (VmEntry vm : vmDirectory.all()) {
      if (!isSelf(vm) && vm.peerProtocol() >= HomeVms.MIN_PROTOCOL) {
        others.add(vm);
      }
    }
    return others;
  }

  /** Returns a reachable VM of the name, unless it is this one. */
  Optional<VmEntry> findOther(String name) {
    return others().stream()
        .filter(vm -> vm.vm().value().equals(name) && isReachable(vm))
        .findFirst();
  }

  /** Requests records from another VM; fails if it does not reply within the given time. */
  Future<PeerMessage.HistoryReply> request(
      VmEntry vm, List<String> keys, boolean readsStore, long waitMs) {
    long requestId = peers.nextRequestId();
    return within(
        waitMs,
        peers
            .sendRequest(
                vm.address(),
                requestId,
                new PeerMessage.HistoryRequest(requestId, keys, readsStore),
                PEER_TIMEOUT_MS)
            .map(reply -> (PeerMessage.HistoryReply) reply));
  }

  /** Hands a record over; completes with whether the other VM holds it. Never fails. */
  Future<Boolean> handOver(VmEntry vm, HistoryRecord value, boolean storesNow) {
    long requestId = peers.nextRequestId();
    return peers
        .sendRequest(
            vm.address(),
            requestId,
            new PeerMessage.HistoryHandover(requestId, toItem(value), storesNow),
            PEER_TIMEOUT_MS)
        .map(reply -> ((PeerMessage.HistoryHandoverReply) reply).held())
        .otherwise(false);
  }

  static PeerMessage.HistoryItem toItem(HistoryRecord value) {
    return new PeerMessage.HistoryItem(value.key(), value.encode());
  }

  /** Fails if the result does not complete within the given time. */
  <T> Future<T> within(long waitMs, Future<T> result) {
    Promise<T> limited = Promise.promise();
    long timer =
        vertx.setTimer(waitMs, fired -> limited.tryFail("no reply within " + waitMs + " ms"));
    result.onSuccess(limited::tryComplete).onFailure(limited::tryFail);
    return limited.future().onComplete(done -> vertx.cancelTimer(timer));
  }
}
