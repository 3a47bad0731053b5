package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RequestLimit;
import io.magnoliaroute.core.gateway.RequestLimits;
import io.magnoliaroute.core.gateway.RequestPermitIssuer;
import io.magnoliaroute.core.gateway.RequestPermitIssuer.Permit;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.ResponseHead;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the requests of all VMs together within the request limits that endpoints report. A limited
 * endpoint gets a request only with a permit from the VM that issues them for this endpoint. The VM
 * that learns of a limit from a response notifies the issuing VM, which notifies all others. Used
 * on one event loop.
 */
final class RequestPermits {

  /** Time-out after which the issuing VM counts as unreachable and another one takes over. */
  private static final long PEER_TIMEOUT_MS = 400;

  /** How long a request waits for a permit before it turns to another endpoint. */
  private static final long REPLY_WAIT_MS = 60;

  /** Pause before a VM asks again after a denial. */
  private static final long MIN_DELAY_MS = 5;

  private static final Permit NO_REPLY = new Permit(false, REPLY_WAIT_MS);

  private final Vertx vertx;
  private final PeerConnections peers;
  private final PermitIssuerSelector issuers;
  private final RequestLimits limits;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final RequestPermitIssuer ownPermits = new RequestPermitIssuer();

  RequestPermits(
      Vertx vertx,
      PeerConnections peers,
      PermitIssuerSelector issuers,
      RequestLimits limits,
      InstantSource clock,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.vertx = vertx;
    this.peers = peers;
    this.issuers = issuers;
    this.limits = limits;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Obtains a permit for one request to the endpoint; never fails. An endpoint without a limit
   * needs none. No reply of the issuing VM counts as a denial.
   *
   * @param maxDelayMs the longest delay that is accepted instead of a denial
   */
  Future<Permit> acquire(EndpointEntry endpoint, long maxDelayMs) {
    Optional<RequestLimit> limit = limits.find(endpoint);
    if (limit.isEmpty()) {
      return Future.succeededFuture(new Permit(true, 0));
    }
    return acquire(endpoint, limit.get(), maxDelayMs)
        .onSuccess(permit -> recordDecision(endpoint, permit));
  }

  private Future<Permit> acquire(EndpointEntry endpoint, RequestLimit limit, long maxDelayMs) {
    PermitIssuerSelector.Issuer issuer = issuers.issuerOf(endpoint.id());
    if (issuer.isSelf()) {
      return Future.succeededFuture(issue(limit, maxDelayMs));
    }
    Promise<Permit> decision = Promise.promise();
    long timer = vertx.setTimer(REPLY_WAIT_MS, fired -> decision.tryComplete(NO_REPLY));
    long requestId = peers.nextRequestId();
    peers
        .sendRequest(
            issuer.address(),
            requestId,
            new PeerMessage.PermitRequest(requestId, toNote(limit), maxDelayMs),
            PEER_TIMEOUT_MS)
        .map(reply -> (PeerMessage.PermitReply) reply)
        .map(reply -> new Permit(reply.granted(), reply.delayMs()))
        .otherwise(NO_REPLY)
        .onSuccess(decision::tryComplete);
    return decision.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private void recordDecision(EndpointEntry endpoint, Permit permit) {
    if (!permit.granted() || permit.delayMs() > 0) {
      limits.markExhausted(endpoint, clock.millis() + Math.max(MIN_DELAY_MS, permit.delayMs()));
    }
    metrics.countPermit(permit.granted());
  }

  /** Decides on another VM's request for a permit. */
  PeerMessage.PermitReply onRequest(PeerMessage.PermitRequest request) {
    Permit permit = issue(toLimit(request.limit()), request.maxDelayMs());
    return new PeerMessage.PermitReply(request.request(), permit.granted(), permit.delayMs());
  }

  private Permit issue(RequestLimit requested, long maxDelayMs) {
    RequestLimit limit =
        limits
            .find(requested.endpoint())
            .filter(known -> known.startedAtMs() >= requested.startedAtMs())
            .orElse(requested);
    double share = issuers.ownShare(limit.endpoint());
    return ownPermits.request(limit, share, maxDelayMs, clock.millis());
  }

  /**
   * Handles the head of a response of the endpoint.
   *
   * @param sentAtMs when the request was sent that the response belongs to
   */
  void onResponseHead(EndpointEntry endpoint, ResponseHead head, long sentAtMs) {
    if (head.requestLimitPerS().isPresent()) {
      double limitPerS = head.requestLimitPerS().getAsDouble();
      RequestLimit limit = new RequestLimit(endpoint.id(), endpoint.startedAtMs(), limitPerS);
      if (limits.apply(limit, clock.millis())) {
        logChange(limit, "response");
        notifyPeers(toNote(limit));
      }
    } else if (!head.hasRequestLimit() && limits.endByResponse(endpoint, sentAtMs)) {
      logEnd(endpoint.id(), "response");
      notifyPeers(
          new PeerMessage.RequestLimitNote(
              endpoint.id().value(), endpoint.startedAtMs(), false, 0));
    }
  }

  /** Applies what another VM has learned, and passes it on if this VM issues the permits. */
  void onNote(PeerMessage.RequestLimitNote note) {
    if (applyNote(note) && issuers.issuerOf(new EndpointId(note.endpoint())).isSelf()) {
      issuers.broadcast(note);
    }
  }

  /** Applies a limit that another VM knows; returns whether it changed this VM's view. */
  boolean applyNote(PeerMessage.RequestLimitNote note) {
    EndpointId endpoint = new EndpointId(note.endpoint());
    if (note.limited()) {
      RequestLimit limit = toLimit(note);
      boolean changed = limits.apply(limit, clock.millis());
      if (changed) {
        logChange(limit, "peer");
      }
      return changed;
    }
    boolean ended = limits.end(endpoint, note.startedAtMs());
    if (ended) {
      logEnd(endpoint, "peer");
    }
    return ended;
  }

  /** Returns the limits that this VM knows, for VMs that are starting. */
  List<PeerMessage.RequestLimitNote> knownLimits() {
    return limits.all().stream().map(RequestPermits::toNote).toList();
  }

  private void notifyPeers(PeerMessage.RequestLimitNote note) {
    PermitIssuerSelector.Issuer issuer = issuers.issuerOf(new EndpointId(note.endpoint()));
    if (issuer.isSelf()) {
      issuers.broadcast(note);
    } else {
      peers.sendNotification(issuer.address(), note);
    }
  }

  private void logChange(RequestLimit limit, String source) {
    log.line("request_limit_changed")
        .put("endpoint", limit.endpoint().value())
        .put("started_at_ms", limit.startedAtMs())
        .put("limit_per_s", String.valueOf(limit.requestsPerS()))
        .put("source", source)
        .write();
  }

  private void logEnd(EndpointId endpoint, String source) {
    ownPermits.remove(endpoint);
    log.line("request_limit_ended").put("endpoint", endpoint.value()).put("source", source).write();
  }

  private static PeerMessage.RequestLimitNote toNote(RequestLimit limit) {
    return new PeerMessage.RequestLimitNote(
        limit.endpoint().value(), limit.startedAtMs(), true, limit.requestsPerS());
  }

  private static RequestLimit toLimit(PeerMessage.RequestLimitNote note) {
    return new RequestLimit(
        new EndpointId(note.endpoint()), note.startedAtMs(), note.requestsPerS());
  }
}
