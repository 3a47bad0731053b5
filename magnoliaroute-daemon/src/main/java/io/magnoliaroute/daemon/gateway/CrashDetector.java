package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.retry.Fingerprint;
import io.vertx.core.Future;
import java.util.List;

/**
 * Finds out whether an endpoint has crashed while it ran one request. An endpoint whose connection
 * broke during a request and that then accepts no connection has probably crashed. Confined to one
 * event loop.
 */
final class CrashDetector {

  /**
   * Delays before each probe after an attempt without a retry. A process that takes long to crash
   * accepts connections for a while, and one that has crashed is back after some seconds.
   */
  private static final List<Long> PROBE_DELAYS_MS = List.of(20L, 180L);

  private final GatewayContext gateway;
  private final Fingerprint request;
  private EndpointEntry lastBrokenEndpoint;

  CrashDetector(GatewayContext gateway, Fingerprint request) {
    this.gateway = gateway;
    this.request = request;
  }

  /** Records that the endpoint has broken a connection of the request. */
  void recordBroken(EndpointEntry endpoint) {
    lastBrokenEndpoint = endpoint;
  }

  /** Returns whether the endpoint is the last one that has broken a connection of the request. */
  boolean hasBroken(EndpointEntry endpoint) {
    return endpoint.equals(lastBrokenEndpoint);
  }

  /** Counts a crash if the endpoint broke the connection before and no path reaches it now. */
  void onReconnectFailed(EndpointEntry endpoint) {
    if (!hasBroken(endpoint)) {
      return;
    }
    gateway
        .reachability()
        .awaitSearch(endpoint)
        .onSuccess(
            reachable -> {
              if (!reachable) {
                reportCrash(endpoint);
              }
            });
  }

  /**
   * Probes an endpoint that has broken two connections, and counts a crash if it refuses a further
   * one: a process that takes long to crash still accepts the reconnect and breaks it too.
   */
  Future<Boolean> hasCrashed(EndpointEntry endpoint) {
    return gateway
        .reachability()
        .probe(endpoint)
        .map(accepted -> !accepted && gateway.reachability().mayHaveCrashed(endpoint))
        .onSuccess(
            crashed -> {
              if (crashed) {
                reportCrash(endpoint);
              }
            });
  }

  /**
   * Probes an endpoint that has broken the connection of a request which is not retried, and counts
   * a crash if it accepts no connection.
   */
  void checkWithoutRetry(EndpointEntry endpoint) {
    // An endpoint that leaves ends without a crash.
    if (gateway.routingState().endpoints().maySendTo(endpoint, gateway.clock().millis())) {
      probe(endpoint, 0);
    }
  }

  private void probe(EndpointEntry endpoint, int index) {
    if (index >= PROBE_DELAYS_MS.size()) {
      return;
    }
    gateway
        .vertx()
        .timer(PROBE_DELAYS_MS.get(index))
        .compose(fired -> hasCrashed(endpoint))
        .onSuccess(
            crashed -> {
              if (!crashed) {
                probe(endpoint, index + 1);
              }
            });
  }

  /** Counts a crash against the request, unless the endpoint may be paused or cut off instead. */
  void reportCrash(EndpointEntry endpoint) {
    // Another endpoint may have broken a connection while the paths to this one were searched.
    if (hasBroken(endpoint)) {
      lastBrokenEndpoint = null;
    }
    if (gateway.reachability().mayHaveCrashed(endpoint)) {
      gateway.crashQuarantine().recordLocalCrash(request, endpoint.id());
    }
  }
}
