package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptHistory;
import io.magnoliaroute.core.gateway.EndpointEntry;

/**
 * Limits how long one request waits for an endpoint that may have run it, accepts no connections
 * and may be sound. Such an endpoint goes on with the request, so a retry at another endpoint may
 * exceed the limit of endpoints. Confined to one event loop.
 */
final class PauseTolerance {

  /** Delay before another reconnect to an endpoint that may be sound. */
  static final long RETRY_MS = 100;

  private final GatewayContext gateway;
  private final AttemptHistory history;
  private long limitMs;

  PauseTolerance(GatewayContext gateway, AttemptHistory history) {
    this.gateway = gateway;
    this.history = history;
  }

  /** Returns whether the request waits for the endpoint, to which no connection was established. */
  boolean awaits(EndpointEntry endpoint) {
    if (!history.mayHaveRunOn(endpoint.id()) || !gateway.reachability().mayBeSound(endpoint)) {
      return false;
    }
    long nowMs = gateway.clock().millis();
    if (limitMs == 0) {
      limitMs = nowMs + Watchdog.MAX_PAUSE_MS;
    }
    return nowMs < limitMs;
  }
}
