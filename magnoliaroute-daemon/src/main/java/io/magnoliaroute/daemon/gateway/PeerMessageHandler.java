package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointTombstone;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Handles messages of other VMs. Also requests their routing state while that of this VM may be out
 * of date, because it has just started or cannot reach the store. Used on one event loop.
 */
final class PeerMessageHandler implements PeerConnections.MessageHandler {

  private static final long REQUEST_TIMEOUT_MS = 400;

  /** A single VM may be out of date; it is unlikely that three are at once. */
  private static final int MAX_CONCURRENT_REQUESTS = 3;

  /** Bounds the wait for a peer's state: the first VM of a cluster has no peer to ask. */
  private static final int MAX_INITIAL_ROUNDS = 10;

  private final PeerConnections peers;
  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final Supplier<List<HostPort>> seeds;
  private final RoutingState routingState;
  private final RoutingStateUpdater routingStateUpdater;
  private final AllowanceService allowances;
  private final CrashQuarantine crashQuarantine;
  private final ReachabilityMonitor reachability;
  private final DepartureTracker departures;
  private final OutcomeSharing outcomeSharing;
  private final RequestPermits requestPermits;
  private final WorkspacePermits workspacePermits;
  private final TunnelServer tunnelServer;
  private final TurnHistory turnHistory;
  private final LongSupplier nowMs;
  private final RandomGenerator random;
  private boolean receivedPeerState;
  private int completedRounds;

  /** The components that messages are dispatched to. */
  record Dependencies(
      VmEntry self,
      VmDirectory vmDirectory,
      Supplier<List<HostPort>> seeds,
      RoutingState routingState,
      RoutingStateUpdater routingStateUpdater,
      AllowanceService allowances,
      CrashQuarantine crashQuarantine,
      ReachabilityMonitor reachability,
      DepartureTracker departures,
      OutcomeSharing outcomeSharing,
      RequestPermits requestPermits,
      WorkspacePermits workspacePermits,
      TunnelServer tunnelServer,
      TurnHistory turnHistory,
      LongSupplier nowMs) {}

  PeerMessageHandler(PeerConnections peers, Dependencies dependencies, RandomGenerator random) {
    this.peers = peers;
    this.self = dependencies.self();
    this.vmDirectory = dependencies.vmDirectory();
    this.seeds = dependencies.seeds();
    this.routingState = dependencies.routingState();
    this.routingStateUpdater = dependencies.routingStateUpdater();
    this.allowances = dependencies.allowances();
    this.crashQuarantine = dependencies.crashQuarantine();
    this.reachability = dependencies.reachability();
    this.departures = dependencies.departures();
    this.outcomeSharing = dependencies.outcomeSharing();
    this.requestPermits = dependencies.requestPermits();
    this.workspacePermits = dependencies.workspacePermits();
    this.tunnelServer = dependencies.tunnelServer();
    this.turnHistory = dependencies.turnHistory();
    this.nowMs = dependencies.nowMs();
    this.random = random;
  }

  /** Notifies all VMs of a request that crashed an endpoint. */
  void broadcastCrash(Fingerprint request, EndpointId endpoint) {
    broadcast(new PeerMessage.RequestCrashed(request.value(), endpoint.value()));
  }

  /** Notifies all VMs of an endpoint that does not accept connections from this VM. */
  void broadcastUnreachable(EndpointId endpoint) {
    broadcast(new PeerMessage.EndpointUnreachable(endpoint.value()));
  }

  /** Notifies all VMs of an endpoint that reported its shutdown. */
  void broadcastDeparture(EndpointTombstone tombstone) {
    broadcast(toMessage(tombstone));
  }

  private static PeerMessage.EndpointDeparture toMessage(EndpointTombstone tombstone) {
    return new PeerMessage.EndpointDeparture(
        tombstone.id().value(), tombstone.startedAtMs(), tombstone.sequence());
  }

  private void recordDeparture(PeerMessage.EndpointDeparture departure) {
    departures.recordDeparture(
        new EndpointTombstone(
            new EndpointId(departure.endpoint()), departure.startedAtMs(), departure.sequence()),
        "peer");
  }

  private void broadcast(PeerMessage notification) {
    for (VmEntry vm : vmDirectory.all()) {
      if (!vm.vm().equals(self.vm()) && !peers.isUnreachable(vm.address())) {
        peers.sendNotification(vm.address(), notification);
      }
    }
  }

  /**
   * Requests the routing state of a few VMs chosen at random. Each of them may be out of date, so
   * the departures that any of them reports are applied before their endpoint lists.
   */
  void requestPeerState() {
    List<HostPort> addresses = new ArrayList<>();
    for (VmEntry vm : vmDirectory.all()) {
      if (!vm.vm().equals(self.vm())) {
        addresses.add(vm.address());
      }
    }
    addresses.removeIf(peers::isUnreachable);
    if (addresses.isEmpty()) {
      addresses.addAll(seeds.get());
      addresses.remove(self.address());
    }
    List<Future<PeerMessage>> replies = new ArrayList<>();
    while (!addresses.isEmpty() && replies.size() < MAX_CONCURRENT_REQUESTS) {
      replies.add(requestStateFrom(addresses.remove(random.nextInt(addresses.size()))));
    }
    Future.join(replies).onComplete(done -> applyReplies(replies));
  }

  private Future<PeerMessage> requestStateFrom(HostPort peer) {
    long requestId = peers.nextRequestId();
    return peers.sendRequest(
        peer,
        requestId,
        new PeerMessage.RoutingStateRequest(requestId, routingState.tableVersion()),
        REQUEST_TIMEOUT_MS);
  }

  private void applyReplies(List<Future<PeerMessage>> results) {
    List<PeerMessage.RoutingStateReply> replies = new ArrayList<>();
    for (Future<PeerMessage> result : results) {
      if (result.succeeded()) {
        replies.add((PeerMessage.RoutingStateReply) result.result());
      }
    }
    replies.forEach(reply -> reply.gone().forEach(this::recordDeparture));
    replies.forEach(reply -> reply.requestLimits().forEach(requestPermits::applyNote));
    replies.forEach(reply -> reply.crashingRequests().forEach(crashQuarantine::applyPeerKnowledge));
    replies.forEach(this::applyReply);
    receivedPeerState |= !replies.isEmpty();
    completedRounds++;
  }

  /**
   * Returns whether this VM has just started and no peer has reported yet which endpoints have shut
   * down. Not all of these shutdowns are recorded in the store.
   */
  boolean isAwaitingPeerState() {
    return !receivedPeerState && completedRounds < MAX_INITIAL_ROUNDS;
  }

  @Override
  public Future<PeerMessage> onRequest(PeerMessage request) {
    if (request instanceof PeerMessage.AllowanceRequest allowanceRequest) {
      if (allowanceRequest.mode().equals(TokenBudgets.Mode.HISTORY.name())) {
        return Future.succeededFuture(allowances.history(allowanceRequest));
      }
      return allowances
          .reserveLocally(
              allowanceRequest.program(),
              allowanceRequest.budgetTokens(),
              allowanceRequest.turnTokens(),
              AllowanceService.parseMode(allowanceRequest.mode()))
          .map(
              verdict ->
                  new PeerMessage.AllowanceReply(
                      allowanceRequest.request(),
                      allowanceRequest.program(),
                      allowanceRequest.turnTokens(),
                      verdict.name(),
                      allowances.localUsedTokens(allowanceRequest.program()),
                      allowances.localOtherSliceHolder(allowanceRequest.program()).orElse(""),
                      List.of(),
                      false,
                      false));
    }
    if (request instanceof PeerMessage.PermitRequest permitRequest) {
      return Future.succeededFuture(requestPermits.onRequest(permitRequest));
    }
    if (request instanceof PeerMessage.WorkspacePermitRequest permitRequest) {
      return workspacePermits.onRequest(permitRequest);
    }
    if (request instanceof PeerMessage.TunnelEndRequest endRequest) {
      return Future.succeededFuture(tunnelServer.onRequest(endRequest));
    }
    if (request instanceof PeerMessage.HistoryRequest historyRequest) {
      return turnHistory.onRequest(historyRequest);
    }
    if (request instanceof PeerMessage.HistoryHandover handover) {
      return Future.succeededFuture(turnHistory.onHandover(handover));
    }
    PeerMessage.RoutingStateRequest stateRequest = (PeerMessage.RoutingStateRequest) request;
    return Future.succeededFuture(stateReply(stateRequest));
  }

  @Override
  public void onNotification(PeerMessage notification) {
    if (notification instanceof PeerMessage.AllowanceSettlement settlement) {
      allowances.settleLocally(
          settlement.program(), settlement.reservedTokens(), settlement.handedTokens());
    } else if (notification instanceof PeerMessage.UsageNote note) {
      allowances.onUsageNote(note);
    } else if (notification instanceof PeerMessage.BudgetExhausted exhausted) {
      allowances.markExhausted(exhausted.program());
    } else if (notification instanceof PeerMessage.EndpointUnreachable unreachable) {
      reachability.onUnreachableReport(new EndpointId(unreachable.endpoint()));
    } else if (notification instanceof PeerMessage.OutcomeReport report) {
      outcomeSharing.onOutcomeReport(report);
    } else if (notification instanceof PeerMessage.OutcomeSummary summary) {
      outcomeSharing.onSummary(summary);
    } else if (notification instanceof PeerMessage.EndpointDeparture departure) {
      recordDeparture(departure);
    } else if (notification instanceof PeerMessage.RequestLimitNote limit) {
      requestPermits.onNote(limit);
    } else if (notification instanceof PeerMessage.WorkspacePermitReturn returned) {
      workspacePermits.onReturn(returned);
    } else if (notification instanceof PeerMessage.RequestCrashed crashed) {
      crashQuarantine.recordCrash(
          new Fingerprint(crashed.fingerprint()), new EndpointId(crashed.endpoint()));
    }
  }

  // The turn no longer waits for this reservation, so its tokens are returned.
  @Override
  public void onLateReply(HostPort from, PeerMessage reply) {
    if (reply instanceof PeerMessage.AllowanceReply lateReply
        && lateReply.verdict().equals(TokenBudgets.Verdict.GRANTED.name())) {
      peers.sendNotification(
          from,
          new PeerMessage.AllowanceSettlement(lateReply.program(), lateReply.turnTokens(), 0));
    }
  }

  private PeerMessage stateReply(PeerMessage.RoutingStateRequest request) {
    List<PeerMessage.EndpointInfo> endpoints = new ArrayList<>();
    for (EndpointEntry entry : routingState.endpoints().entries()) {
      endpoints.add(
          new PeerMessage.EndpointInfo(
              entry.id().value(),
              entry.service(),
              entry.address().host(),
              entry.address().port(),
              entry.dataCentre(),
              entry.slots(),
              entry.draining(),
              entry.startedAtMs(),
              entry.sequence(),
              entry.softwareVersion()));
    }
    List<PeerMessage.VmInfo> vms = new ArrayList<>();
    for (VmEntry vm : vmDirectory.all()) {
      vms.add(
          new PeerMessage.VmInfo(
              vm.vm().value(),
              vm.address().host(),
              vm.address().port(),
              vm.dataCentre(),
              vm.peerProtocol(),
              vm.cpuCores()));
    }
    byte[] config =
        request.configVersion() < routingState.tableVersion()
            ? routingState.tableBytes()
            : new byte[0];
    List<PeerMessage.EndpointDeparture> tombstones = new ArrayList<>();
    routingState
        .endpoints()
        .tombstones(nowMs.getAsLong())
        .forEach(tombstone -> tombstones.add(toMessage(tombstone)));
    return new PeerMessage.RoutingStateReply(
        request.request(),
        Bytes.copyOf(config),
        routingState.endpointsOffset(),
        endpoints,
        tombstones,
        requestPermits.knownLimits(),
        vms,
        crashQuarantine.crashingRequests());
  }

  private static VmEntry toEntry(PeerMessage.VmInfo vm) {
    VmId id = new VmId(vm.vm());
    HostPort address = new HostPort(vm.host(), vm.port());
    return vm.peerProtocol() == null || vm.cpuCores() == null
        ? new VmEntry(id, address, vm.dataCentre())
        : new VmEntry(id, address, vm.dataCentre(), vm.peerProtocol(), vm.cpuCores());
  }

  private void applyReply(PeerMessage.RoutingStateReply reply) {
    if (reply.config().sizeBytes() > 0) {
      routingStateUpdater.applyConfiguration(reply.config().toArray(), "peer");
    }
    for (PeerMessage.VmInfo vm : reply.vms()) {
      vmDirectory.addFromPeer(toEntry(vm));
    }
    List<EndpointEntry> endpoints = new ArrayList<>();
    for (PeerMessage.EndpointInfo endpoint : reply.endpoints()) {
      endpoints.add(
          new EndpointEntry(
              new EndpointId(endpoint.id()),
              endpoint.service(),
              new HostPort(endpoint.host(), endpoint.port()),
              endpoint.dataCentre(),
              endpoint.slots(),
              endpoint.draining(),
              endpoint.startedAtMs(),
              endpoint.sequence(),
              endpoint.softwareVersion()));
    }
    routingStateUpdater.applyPeerEndpoints(endpoints, reply.endpointsOffset());
  }
}
