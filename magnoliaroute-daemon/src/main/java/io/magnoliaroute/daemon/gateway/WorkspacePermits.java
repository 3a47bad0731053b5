package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.quota.LocalDenials;
import io.magnoliaroute.core.gateway.quota.PermitDecision;
import io.magnoliaroute.core.gateway.quota.PermitDecision.Verdict;
import io.magnoliaroute.core.gateway.quota.PermitDemand;
import io.magnoliaroute.core.gateway.quota.QuotaBounds;
import io.magnoliaroute.core.gateway.quota.WorkspacePermitCoordinator;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.gateway.workspace.WorkspaceDirectory;
import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Keeps the requests of each workspace within its quota over all VMs together. Connects the
 * decisions of {@link WorkspacePermitCoordinator} to the other VMs and to the configuration. Idle
 * until the configuration has a quota or another VM asks for a permit. Used on one event loop.
 */
final class WorkspacePermits {

  /** Version of the protocol between VMs from which a VM knows the messages for permits. */
  private static final int MIN_PROTOCOL = 2;

  /** Time-out after which a VM counts as unreachable, as for permits of endpoints. */
  private static final long PEER_TIMEOUT_MS = 400;

  /**
   * Time-out of a query; longer, because the reply also counts if it is late, and a time-out closes
   * the connection.
   */
  private static final long QUERY_TIMEOUT_MS = 1_000;

  /** Interval of the log lines about denied requests; one line for each workspace. */
  private static final long DENIAL_LOG_INTERVAL_MS = 1_000;

  private final Vertx vertx;
  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final RoutingState routingState;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final LocalDenials denials;
  private final WorkspacePermitCoordinator coordinator;
  private boolean active;
  private long membersRevision = -1;
  private long denialsLoggedAtMs;

  /**
   * A permit for one request of a workspace.
   *
   * @param workspace the name of the workspace
   * @param issuer the VM that issued it
   * @param grantedAtMs when it was granted
   * @param usableAtMs when the request may be sent
   */
  record Permit(String workspace, VmId issuer, long grantedAtMs, long usableAtMs) {}

  /**
   * The reply to a request for a permit.
   *
   * @param verdict the decision
   * @param permit the permit; empty unless it was granted
   * @param retryAfterMs when a denied client may retry
   */
  record Outcome(Verdict verdict, Optional<Permit> permit, long retryAfterMs) {}

  /** The components that permits depend on. */
  record Dependencies(
      Vertx vertx,
      VmEntry self,
      VmDirectory vmDirectory,
      PeerConnections peers,
      RoutingState routingState,
      InstantSource clock,
      DecisionLog log,
      GatewayMetrics metrics) {}

  WorkspacePermits(Dependencies dependencies, QuotaBounds bounds, RandomGenerator random) {
    this.vertx = dependencies.vertx();
    this.self = dependencies.self();
    this.vmDirectory = dependencies.vmDirectory();
    this.peers = dependencies.peers();
    this.routingState = dependencies.routingState();
    this.clock = dependencies.clock();
    this.log = dependencies.log();
    this.metrics = dependencies.metrics();
    this.denials = new LocalDenials(random);
    this.coordinator =
        new WorkspacePermitCoordinator(self, bounds, denials, new PeerMessenger(), new Reporter());
  }

  /** Runs the periodic work; called every 100 ms. */
  void tick() {
    if (!active && hasQuotas()) {
      active = true;
    }
    if (!active) {
      return;
    }
    updateMembers();
    coordinator.tick(now());
    if (now() - denialsLoggedAtMs >= DENIAL_LOG_INTERVAL_MS) {
      denialsLoggedAtMs = now();
      denials.drain(now(), this::logDenials);
    }
  }

  private boolean hasQuotas() {
    return routingState
        .table()
        .flatMap(RoutingTable::workspaces)
        .map(WorkspaceDirectory::hasQuotas)
        .orElse(false);
  }

  private void updateMembers() {
    active = true;
    if (!vmDirectory.isListed() || vmDirectory.revision() == membersRevision) {
      return;
    }
    membersRevision = vmDirectory.revision();
    List<VmEntry> members = new ArrayList<>();
    for (VmEntry vm : vmDirectory.all()) {
      boolean leaving = vm.vm().equals(self.vm()) && vmDirectory.isDeregistered();
      if (vm.peerProtocol() >= MIN_PROTOCOL && !leaving) {
        members.add(vm);
      }
    }
    coordinator.setMembers(members, now());
  }

  /** Obtains a permit for one request of a workspace with a quota; never fails. */
  Future<Outcome> acquire(Workspace workspace) {
    updateMembers();
    Promise<Outcome> outcome = Promise.promise();
    boolean denyLocally = denials.remainingMs(workspace.name(), now()) > 0;
    coordinator.acquire(
        new PermitDemand(workspace.name(), routingState.tableVersion(), workspace.quota()),
        now(),
        decision -> {
          countDecision(decision, denyLocally);
          outcome.complete(toOutcome(workspace, decision));
        });
    return outcome.future();
  }

  private void countDecision(PermitDecision decision, boolean deniedLocally) {
    metrics.countQuota(
        switch (decision.verdict()) {
          case GRANTED -> decision.delayMs() > 0 ? "granted_later" : "granted";
          case DENIED -> deniedLocally ? "denied_locally" : "denied";
          case UNDECIDED -> "undecided";
        });
  }

  private Outcome toOutcome(Workspace workspace, PermitDecision decision) {
    if (decision.verdict() == Verdict.GRANTED) {
      long usableAtMs = now() + decision.delayMs();
      return new Outcome(
          Verdict.GRANTED,
          Optional.of(new Permit(workspace.name(), decision.issuer(), now(), usableAtMs)),
          0);
    }
    return new Outcome(
        decision.verdict(), Optional.empty(), denials.retryAfterMs(decision.delayMs()));
  }

  /** Returns a permit whose request did not reach an endpoint. */
  void giveBack(Permit permit) {
    metrics.countQuota("returned");
    giveBack(permit.issuer(), permit.workspace(), permit.grantedAtMs());
  }

  private void giveBack(VmId issuer, String workspace, long grantedAtMs) {
    if (issuer.equals(self.vm())) {
      coordinator.onReturn(workspace, grantedAtMs, now());
      return;
    }
    addressOf(issuer)
        .ifPresent(
            address ->
                peers.sendNotification(
                    address,
                    new PeerMessage.WorkspacePermitReturn(workspace, now() - grantedAtMs)));
  }

  /** Decides on another VM's request for a permit. */
  Future<PeerMessage> onRequest(PeerMessage.WorkspacePermitRequest request) {
    VmId sender = new VmId(request.vm());
    if (request.workspace().isEmpty()) {
      coordinator.recordHeard(sender, now());
      return Future.succeededFuture(
          new PeerMessage.WorkspacePermitReply(
              request.request(), Verdict.UNDECIDED.name(), 0, self.vm().value()));
    }
    updateMembers();
    Promise<PeerMessage> reply = Promise.promise();
    coordinator.onAsk(
        sender,
        newestDemand(request),
        request.forwarded(),
        now(),
        decision ->
            reply.complete(
                new PeerMessage.WorkspacePermitReply(
                    request.request(),
                    decision.verdict().name(),
                    decision.delayMs(),
                    decision.issuer().value())));
    return reply.future();
  }

  private PermitDemand newestDemand(PeerMessage.WorkspacePermitRequest request) {
    WorkspaceQuota quota = new WorkspaceQuota(request.permitsPerS(), request.burst());
    long version = request.configVersion();
    if (routingState.tableVersion() > version) {
      version = routingState.tableVersion();
      quota =
          routingState
              .table()
              .flatMap(RoutingTable::workspaces)
              .flatMap(workspaces -> workspaces.findByName(request.workspace()))
              .map(Workspace::quota)
              .orElse(quota);
    }
    return new PermitDemand(request.workspace(), version, quota);
  }

  /** Takes back a permit that this VM issued. */
  void onReturn(PeerMessage.WorkspacePermitReturn returned) {
    coordinator.onReturn(returned.workspace(), now() - returned.grantedAgoMs(), now());
  }

  private Optional<HostPort> addressOf(VmId vm) {
    return vmDirectory.findIncludingDeparted(vm).map(VmEntry::address);
  }

  private void logDenials(String workspace, LocalDenials.Denials each) {
    log.line("quota_denied")
        .put("workspace", workspace)
        .put("denied", each.deniedByIssuer())
        .put("denied_locally", each.deniedLocally())
        .put("issuer", coordinator.issuerOf(workspace, now()).map(VmId::value).orElse(""))
        .write();
  }

  private long now() {
    return clock.millis();
  }

  private final class PeerMessenger implements WorkspacePermitCoordinator.Messenger {

    @Override
    public void ask(
        VmId vm,
        PermitDemand demand,
        boolean forwarded,
        long timeoutMs,
        WorkspacePermitCoordinator.ReplyHandler handler) {
      long askedAtMs = now();
      Promise<Boolean> inTime = Promise.promise();
      long timer =
          vertx.setTimer(
              timeoutMs,
              fired -> {
                if (inTime.tryComplete(false)) {
                  handler.onReply(Optional.empty(), false, now());
                }
              });
      send(vm, demand, forwarded, PEER_TIMEOUT_MS)
          .onComplete(
              done -> {
                vertx.cancelTimer(timer);
                Optional<PermitDecision> decision =
                    Optional.ofNullable(done.result()).map(WorkspacePermits::toDecision);
                if (inTime.tryComplete(true)) {
                  handler.onReply(decision, done.failed() && hasRefused(vm), now());
                } else {
                  decision.ifPresent(late -> onLateDecision(vm, demand, late, askedAtMs));
                }
              });
    }

    private void onLateDecision(VmId vm, PermitDemand demand, PermitDecision late, long askedAtMs) {
      coordinator.recordHeard(vm, now());
      if (late.verdict() == Verdict.GRANTED) {
        giveBack(late.issuer(), demand.workspace(), askedAtMs);
      }
    }

    @Override
    public void query(VmId vm) {
      PermitDemand none = new PermitDemand("", 0, WorkspaceQuota.UNLIMITED);
      send(vm, none, true, QUERY_TIMEOUT_MS)
          .onSuccess(reply -> coordinator.recordHeard(vm, now()))
          .onFailure(
              e -> {
                if (hasRefused(vm)) {
                  coordinator.recordEnded(vm);
                }
              });
    }

    private Future<PeerMessage> send(
        VmId vm, PermitDemand demand, boolean forwarded, long timeoutMs) {
      Optional<HostPort> address = addressOf(vm);
      if (address.isEmpty()) {
        return Future.failedFuture("no address of " + vm);
      }
      long requestId = peers.nextRequestId();
      PeerMessage message =
          new PeerMessage.WorkspacePermitRequest(
              requestId,
              self.vm().value(),
              demand.workspace(),
              demand.configVersion(),
              demand.quota().requestsPerS(),
              demand.quota().burst(),
              forwarded);
      return peers.sendRequest(address.get(), requestId, message, timeoutMs);
    }

    private boolean hasRefused(VmId vm) {
      return addressOf(vm).map(peers::hasRefused).orElse(false);
    }
  }

  private static PermitDecision toDecision(PeerMessage message) {
    PeerMessage.WorkspacePermitReply reply = (PeerMessage.WorkspacePermitReply) message;
    return new PermitDecision(
        Verdict.valueOf(reply.verdict()), reply.delayMs(), new VmId(reply.issuer()));
  }

  private final class Reporter implements WorkspacePermitCoordinator.Listener {

    @Override
    public void onIssuerChanged(String workspace, VmId from, VmId to) {
      metrics.count("quota_issuer_changes");
      log.line("quota_issuer_changed")
          .put("workspace", workspace)
          .put("from", from.value())
          .put("to", to.value())
          .write();
    }

    @Override
    public void onIsolationChanged(boolean isolated, double share) {
      if (isolated) {
        metrics.count("quota_isolations");
      }
      log.line("quota_isolation_changed")
          .put("isolated", isolated)
          .put("share", String.valueOf(share))
          .write();
    }

    @Override
    public void onPause(long pausedMs) {
      log.line("quota_accounts_reset").put("paused_ms", pausedMs).write();
    }
  }
}
