package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.RequestMetadata.PromptSegment;
import io.magnoliaroute.core.gateway.admission.AdmissionRequest;
import io.magnoliaroute.core.gateway.admission.AdmissionVerdict;
import io.magnoliaroute.core.gateway.admission.WaitingRequests.Entry;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Lets one request wait for a place while its service has too little capacity, or refuses it.
 * Confined to one event loop.
 */
final class AdmissionGate {

  /** Prompt tokens that an engine processes per millisecond, from the engines' data sheet. */
  private static final double PREFILL_TOKENS_PER_MS = 205;

  private static final int UNAVAILABLE = 503;

  private final GatewayContext gateway;
  private final ClientRequest request;
  private final String service;
  private final double draw;
  private Optional<Entry<Runnable>> waiting = Optional.empty();
  private boolean cancelled;
  private boolean isNew;
  private long turnsLeft = 1;

  AdmissionGate(GatewayContext gateway, ClientRequest request, String service) {
    this.gateway = gateway;
    this.request = request;
    this.service = service;
    this.draw = gateway.random().nextDouble();
  }

  /**
   * Completes once the request may be sent, or with the reason why it is refused. Never completes
   * if the request is cancelled while it waits.
   *
   * @param reservation the tokens reserved for the turn
   */
  Future<Optional<RequestAdmission.Refusal>> admit(TurnReservation reservation) {
    if (cancelled) {
      return Future.succeededFuture(Optional.empty());
    }
    isNew = reservation.isFirstTurn();
    turnsLeft = reservation.turnsLeft();
    AdmissionRequest admissionRequest = toAdmissionRequest();
    gateway.admission().recordArrival(admissionRequest, nowMs());
    Promise<Optional<RequestAdmission.Refusal>> result = Promise.promise();
    decide(admissionRequest, result);
    return result.future();
  }

  /** Runs the action when an endpoint may have become available for the request. */
  void awaitEndpoint(long waitUntilMs, Runnable action) {
    enqueue(toAdmissionRequest(), waitUntilMs, action);
  }

  /** Removes the request from the queue, because it has ended. */
  void cancel() {
    cancelled = true;
    waiting.ifPresent(gateway.dispatchQueue()::remove);
    waiting = Optional.empty();
  }

  private void decide(
      AdmissionRequest admissionRequest, Promise<Optional<RequestAdmission.Refusal>> result) {
    AdmissionVerdict verdict = gateway.admission().decide(admissionRequest, nowMs());
    switch (verdict.kind()) {
      case SERVE -> result.complete(Optional.empty());
      case WAIT ->
          enqueue(admissionRequest, verdict.waitUntilMs(), () -> decide(admissionRequest, result));
      default -> result.complete(Optional.of(refuse(admissionRequest, verdict)));
    }
  }

  private void enqueue(AdmissionRequest admissionRequest, long waitUntilMs, Runnable action) {
    if (!cancelled) {
      waiting =
          Optional.of(
              gateway
                  .dispatchQueue()
                  .await(
                      admissionRequest,
                      waitUntilMs,
                      () -> {
                        waiting = Optional.empty();
                        action.run();
                      }));
    }
  }

  private RequestAdmission.Refusal refuse(AdmissionRequest refused, AdmissionVerdict verdict) {
    boolean late = verdict.kind() == AdmissionVerdict.Kind.REFUSE_LATE;
    String reason = late ? "cannot end in time" : "too little capacity";
    gateway.metrics().countNotAdmitted(service, isNew);
    gateway
        .log()
        .line("request_not_admitted")
        .put("request", request.metadata().requestId())
        .put("program", request.metadata().programId().orElse(""))
        .put("workspace", refused.workspace())
        .put("service", service)
        .put("reason", reason)
        .put("rank", refused.rank())
        .put("first_turn", isNew)
        .put("load_percent", (long) (100 * verdict.load()))
        .put("queue_ms", (long) verdict.queueMs())
        .put("admitted_share", String.format(Locale.ROOT, "%.3f", verdict.probability()))
        .put("left_ms", refused.deadlineMs() - nowMs())
        .put("program_left_ms", refused.finishAtMs().orElse(nowMs()) - nowMs())
        .put("retry_after_ms", verdict.retryAfterMs())
        .write();
    return new RequestAdmission.Refusal(UNAVAILABLE, reason, verdict.retryAfterMs());
  }

  private AdmissionRequest toAdmissionRequest() {
    RequestMetadata metadata = request.metadata();
    OptionalLong finishAtMs =
        metadata.targetCompletionMs().isPresent()
            ? OptionalLong.of(request.arrivedMs() + metadata.targetCompletionMs().get())
            : OptionalLong.empty();
    return new AdmissionRequest(
        service,
        request.route().name(),
        request.workspace().map(Workspace::name).orElse(""),
        request.rank(),
        isNew,
        request.route().targetLatencyMs(),
        ownMs(),
        request.arrivedMs(),
        request.deadlineMs(),
        finishAtMs,
        turnsLeft,
        draw);
  }

  // The last segment is the request's own; engines usually have cached the others.
  private double ownMs() {
    if (!request.route().kind().isStream()) {
      return gateway.serviceTimes().meanMs(service);
    }
    List<PromptSegment> prefix = request.metadata().prefix();
    long tokens =
        prefix.isEmpty()
            ? request.metadata().promptTokens()
            : prefix.get(prefix.size() - 1).tokens();
    return tokens / PREFILL_TOKENS_PER_MS;
  }

  private long nowMs() {
    return gateway.clock().millis();
  }
}
