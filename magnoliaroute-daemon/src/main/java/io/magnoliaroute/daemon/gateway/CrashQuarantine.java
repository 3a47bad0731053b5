package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.core.retry.Quarantine;
import io.magnoliaroute.core.retry.QuarantineSettings;
import java.time.InstantSource;
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
  private BiConsumer<Fingerprint, EndpointId> listener = (fingerprint, endpoint) -> {};

  CrashQuarantine(InstantSource clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** Sets the listener that notifies the other VMs of a crash. */
  void setListener(BiConsumer<Fingerprint, EndpointId> newListener) {
    listener = newListener;
  }

  boolean isQuarantined(Fingerprint request) {
    return quarantine.isQuarantined(request, clock.millis());
  }

  /** Records a crash that this VM observed and notifies the other VMs. */
  void recordLocalCrash(Fingerprint request, EndpointId endpoint) {
    recordCrash(request, endpoint);
    listener.accept(request, endpoint);
  }

  /** Records a crash that this VM or a peer observed. */
  void recordCrash(Fingerprint request, EndpointId endpoint) {
    boolean quarantined = quarantine.recordCrash(request, endpoint, clock.millis()).isPresent();
    log.line("endpoint_crashed_by_request")
        .put("fingerprint", request.value().substring(0, 16))
        .put("endpoint", endpoint.value())
        .put("refused_from_now", quarantined)
        .write();
  }
}
