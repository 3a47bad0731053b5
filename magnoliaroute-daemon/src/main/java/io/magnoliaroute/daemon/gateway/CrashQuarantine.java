package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.retry.Quarantine;
import io.magnoliaroute.core.retry.QuarantineSettings;
import io.magnoliaroute.wire.PeerMessage;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Quarantines requests that have crashed endpoints, counting the crashes that all VMs report. Used
 * on one event loop.
 */
final class CrashQuarantine {

  /**
   * Number of endpoints that a request may crash before it is quarantined. Endpoints also crash for
   * other reasons, so that a single crash is no proof against a request.
   */
  private static final int MAX_ENDPOINTS = 3;

  private static final long SUSPICION_MS = 120_000;
  private static final long QUARANTINE_MS = 600_000;
  private static final int MAX_ENTRIES = 10_000;

  private final Quarantine quarantine =
      new Quarantine(
          new QuarantineSettings(MAX_ENDPOINTS, SUSPICION_MS, QUARANTINE_MS, MAX_ENTRIES));
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private BiConsumer<Fingerprint, EndpointId> listener = (fingerprint, endpoint) -> {};

  CrashQuarantine(InstantSource clock, DecisionLog log, GatewayMetrics metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sets the listener that notifies the other VMs of a crash. */
  void setListener(BiConsumer<Fingerprint, EndpointId> newListener) {
    listener = newListener;
  }

  boolean isQuarantined(Fingerprint request) {
    return quarantine.isQuarantined(request, clock.millis());
  }

  /**
   * Records that an endpoint has completed the request. Many clients may send the same request, as
   * to a path without a body; endpoints that crash for other reasons while they run it must not get
   * it refused.
   */
  void recordCompletion(Fingerprint request) {
    quarantine.clearSuspicion(request);
  }

  /** Returns the requests that are suspected or quarantined, for a VM that has restarted. */
  List<PeerMessage.CrashingRequest> crashingRequests() {
    long nowMs = clock.millis();
    List<PeerMessage.CrashingRequest> requests = new ArrayList<>();
    quarantine
        .quarantinedRequests(nowMs)
        .forEach(
            (request, untilMs) ->
                requests.add(
                    new PeerMessage.CrashingRequest(request.value(), List.of(), untilMs - nowMs)));
    quarantine
        .suspectedRequests(nowMs)
        .forEach(
            (request, endpoints) ->
                requests.add(
                    new PeerMessage.CrashingRequest(
                        request.value(), endpoints.stream().map(EndpointId::value).toList(), 0)));
    return requests;
  }

  /** Applies what a peer knows of a request, unless this VM knows the request itself. */
  void applyPeerKnowledge(PeerMessage.CrashingRequest known) {
    Fingerprint request = new Fingerprint(known.fingerprint());
    long nowMs = clock.millis();
    if (known.quarantinedForMs() > 0) {
      quarantine.applyQuarantined(
          request, nowMs + Math.min(QUARANTINE_MS, known.quarantinedForMs()));
    } else if (!quarantine.isSuspected(request, nowMs)) {
      known.endpoints().forEach(each -> recordCrash(request, new EndpointId(each)));
    }
  }

  /** Records a crash that this VM observed and notifies the other VMs. */
  void recordLocalCrash(Fingerprint request, EndpointId endpoint) {
    recordCrash(request, endpoint);
    listener.accept(request, endpoint);
  }

  /** Records a crash that this VM or a peer observed. */
  void recordCrash(Fingerprint request, EndpointId endpoint) {
    metrics.count("endpoint_crashes_by_requests");
    boolean quarantined = quarantine.recordCrash(request, endpoint, clock.millis()).isPresent();
    log.line("endpoint_crashed_by_request")
        .put("fingerprint", request.value().substring(0, 16))
        .put("endpoint", endpoint.value())
        .put("refused_from_now", quarantined)
        .write();
  }
}
