package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import io.vertx.core.Future;

/** Appends to the {@code control} stream. */
public interface ControlLog {

  /** Tells every VM to refuse the request until the time. */
  Future<Void> quarantine(Fingerprint request, long untilMs);

  /** Tells every VM that the endpoint drains or takes work again. */
  Future<Void> drain(EndpointId endpoint, boolean draining);
}
