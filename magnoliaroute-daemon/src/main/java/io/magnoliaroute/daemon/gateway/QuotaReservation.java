package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.quota.PermitDecision.Verdict;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.daemon.gateway.RequestAdmission.Refusal;
import io.vertx.core.Future;
import java.util.Optional;

/** The permit of one request whose workspace has a quota. Confined to one event loop. */
final class QuotaReservation {

  /**
   * Age from which a permit is renewed before its request is sent. Requests that wait for an
   * endpoint would otherwise be sent all at once, in another time window than their permits. This
   * age exceeds the quota by 0.1 s of its rate.
   */
  private static final long MAX_AGE_MS = 100;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final Future<Optional<Refusal>> GRANTED = Future.succeededFuture(Optional.empty());

  private final GatewayContext gateway;
  private final Optional<Workspace> workspace;
  private Optional<WorkspacePermits.Permit> permit = Optional.empty();

  QuotaReservation(GatewayContext gateway, Optional<Workspace> workspace) {
    this.gateway = gateway;
    this.workspace = workspace;
  }

  /** Returns whether the request needs a permit. */
  boolean isNeeded() {
    return workspace.isPresent() && workspace.get().quota().isLimited();
  }

  /** Obtains a permit; completes with the reason if there is none, or once it may be used. */
  Future<Optional<Refusal>> reserve() {
    return gateway.workspacePermits().acquire(workspace.orElseThrow()).compose(this::onOutcome);
  }

  private Future<Optional<Refusal>> onOutcome(WorkspacePermits.Outcome outcome) {
    permit = outcome.permit();
    if (outcome.verdict() == Verdict.DENIED) {
      return refused(TOO_MANY_REQUESTS, "workspace quota exceeded", outcome.retryAfterMs());
    }
    if (outcome.verdict() == Verdict.UNDECIDED) {
      return refused(UNAVAILABLE, "workspace quota not known", outcome.retryAfterMs());
    }
    long delayMs = permit.orElseThrow().usableAtMs() - gateway.clock().millis();
    return delayMs <= 0
        ? GRANTED
        : gateway.vertx().timer(delayMs).map(fired -> Optional.<Refusal>empty());
  }

  private static Future<Optional<Refusal>> refused(int status, String reason, long retryAfterMs) {
    return Future.succeededFuture(Optional.of(new Refusal(status, reason, retryAfterMs)));
  }

  /** Returns whether the permit has to be renewed before the request is sent. */
  boolean isOutdated() {
    return permit.isPresent() && gateway.clock().millis() - permit.get().usableAtMs() > MAX_AGE_MS;
  }

  /** Returns the permit and obtains a new one. */
  Future<Optional<Refusal>> renew() {
    settle(false);
    return reserve();
  }

  /**
   * Ends the reservation; has no effect if no permit was granted.
   *
   * @param used whether the request was sent to any endpoint
   */
  void settle(boolean used) {
    if (!used) {
      permit.ifPresent(gateway.workspacePermits()::giveBack);
    }
    permit = Optional.empty();
  }
}
