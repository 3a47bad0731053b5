package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.vertx.core.Future;

/** Appends records to the {@code control} stream, which every VM reads. */
public interface ControlLog {

  /**
   * Quarantines a request on every VM.
   *
   * @param request the fingerprint of the request
   * @param untilMs the time until which the request is rejected
   */
  Future<Void> quarantine(Fingerprint request, long untilMs);

  /** Sets on every VM whether the endpoint is draining; a draining endpoint gets no new work. */
  Future<Void> setDraining(EndpointId endpoint, boolean draining);
}
