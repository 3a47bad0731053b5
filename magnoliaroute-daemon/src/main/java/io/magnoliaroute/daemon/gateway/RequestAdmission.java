package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.retry.Fingerprint;
import io.vertx.core.Future;
import java.util.Optional;

/**
 * Decides whether a request may run, before it is sent to any endpoint: whether it crashes
 * endpoints, may be resumed, and has tokens left in its budget. Confined to one event loop.
 */
final class RequestAdmission {

  private static final int PAYMENT_REQUIRED = 402;
  private static final int UNAVAILABLE = 503;
  private static final Future<Optional<Refusal>> ADMITTED =
      Future.succeededFuture(Optional.empty());

  private final GatewayContext gateway;
  private final ClientRequest request;
  private final StreamBinding stream;
  private final Fingerprint fingerprint;
  private final TurnReservation reservation;
  private final QuotaReservation quota;

  /**
   * Why a request may not run.
   *
   * @param status the status of the response
   * @param retryAfterMs when the client may retry; 0 if it should not
   */
  record Refusal(int status, String reason, long retryAfterMs) {}

  RequestAdmission(
      GatewayContext gateway,
      ClientRequest request,
      StreamBinding stream,
      Fingerprint fingerprint) {
    this.gateway = gateway;
    this.request = request;
    this.stream = stream;
    this.fingerprint = fingerprint;
    this.reservation = new TurnReservation(gateway.budgets(), request.metadata());
    this.quota = new QuotaReservation(gateway, request.workspace());
  }

  /** Completes with the reason why the request may not run, or empty if it may. */
  Future<Optional<Refusal>> admit() {
    if (gateway.crashQuarantine().isQuarantined(fingerprint)) {
      return refused(UNAVAILABLE, "request crashed endpoints", 0);
    }
    if (!quota.isNeeded()) {
      return admitWithinQuota();
    }
    return quota
        .reserve()
        .compose(
            refusal -> refusal.isEmpty() ? admitWithinQuota() : Future.succeededFuture(refusal));
  }

  private Future<Optional<Refusal>> admitWithinQuota() {
    if (!request.route().kind().isStream()) {
      return ADMITTED;
    }
    gateway.serviceVersions().observeChanges();
    Future<Optional<Refusal>> resumable =
        stream.isResumption() ? stream.bindResumed().compose(this::checkResumption) : ADMITTED;
    return resumable.compose(
        refusal ->
            refusal.isEmpty() && reservation.isNeeded()
                ? reserve()
                : Future.succeededFuture(refusal));
  }

  private Future<Optional<Refusal>> checkResumption(boolean isVersionKnown) {
    if (!isVersionKnown) {
      return refused(
          UNAVAILABLE, "version of the resumed stream not known", Exchange.RETRY_AFTER_MS);
    }
    return stream.hasEndpoint()
        ? ADMITTED
        : refused(UNAVAILABLE, "no endpoint of the stream's version", Exchange.RETRY_AFTER_MS);
  }

  private Future<Optional<Refusal>> reserve() {
    return reservation
        .reserve()
        .compose(
            verdict ->
                switch (verdict) {
                  case GRANTED -> ADMITTED;
                  case EXHAUSTED -> refused(PAYMENT_REQUIRED, "token budget spent", 0);
                  default ->
                      refused(UNAVAILABLE, "token budget not known", Exchange.RETRY_AFTER_MS);
                });
  }

  /** Returns whether the request has waited so long that its permit has to be renewed. */
  boolean isPermitOutdated() {
    return quota.isOutdated();
  }

  /** Renews an outdated permit; completes with the reason if there is none. */
  Future<Optional<Refusal>> renewPermit() {
    return quota.renew();
  }

  /**
   * Returns what the request was granted and has not used. Has no effect if nothing was granted.
   *
   * @param service the service that ran the request
   * @param events events that were delivered to the client
   * @param sent whether the request was sent to any endpoint
   */
  void settle(String service, int events, boolean sent) {
    quota.settle(sent);
    Optional<ServiceSpec> spec =
        gateway.routingState().table().flatMap(table -> table.service(service));
    reservation.settle(spec.map(ServiceSpec::tokensPerEvent).orElse(0), events);
  }

  private static Future<Optional<Refusal>> refused(int status, String reason, long retryAfterMs) {
    return Future.succeededFuture(Optional.of(new Refusal(status, reason, retryAfterMs)));
  }
}
