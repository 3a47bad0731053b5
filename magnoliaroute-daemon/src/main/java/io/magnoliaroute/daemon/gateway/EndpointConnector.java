package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;

/** Connects to endpoints, on another path if the current one fails. Used on one event loop. */
final class EndpointConnector {

  /**
   * How long a request waits for another path before it turns to another endpoint; several times
   * the time in which a VM of another data centre connects to an endpoint.
   */
  private static final long PATH_SEARCH_WAIT_MS = 50;

  private final GatewayContext gateway;

  EndpointConnector(GatewayContext gateway) {
    this.gateway = gateway;
  }

  /** Returns an idle connection for the request, or opens one if there is none. */
  Future<EndpointConnection> connect(EndpointEntry endpoint, String requestId) {
    return gateway
        .connections()
        .pollIdle(endpoint, path(endpoint), requestId)
        .map(Future::succeededFuture)
        .orElseGet(() -> open(endpoint));
  }

  /** Opens a connection to the endpoint. */
  Future<EndpointConnection> open(EndpointEntry endpoint) {
    Optional<VmEntry> relay = path(endpoint);
    return openOn(endpoint, relay)
        .recover(
            e ->
                e instanceof EndpointConnectionPool.ConnectionLimitReachedException
                    ? Future.failedFuture(e)
                    : openOnOtherPath(endpoint, relay, e));
  }

  private Future<EndpointConnection> openOnOtherPath(
      EndpointEntry endpoint, Optional<VmEntry> failedRelay, Throwable cause) {
    Future<Boolean> search = gateway.reachability().onConnectFailure(endpoint, failedRelay, cause);
    Promise<Boolean> found = Promise.promise();
    long timer = gateway.vertx().setTimer(PATH_SEARCH_WAIT_MS, fired -> found.tryComplete(false));
    search.onSuccess(found::tryComplete);
    return found
        .future()
        .onComplete(done -> gateway.vertx().cancelTimer(timer))
        .compose(
            reachable -> reachable ? openOn(endpoint, path(endpoint)) : Future.failedFuture(cause));
  }

  private Future<EndpointConnection> openOn(EndpointEntry endpoint, Optional<VmEntry> relay) {
    int maxConnections = gateway.reachability().maxConnections(endpoint);
    return gateway.connections().open(endpoint, relay, maxConnections);
  }

  private Optional<VmEntry> path(EndpointEntry endpoint) {
    return gateway.paths().relay(endpoint.id());
  }
}
