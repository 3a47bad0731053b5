package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.gateway.VmEntry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;

/**
 * Checks whether endpoints respond to requests. The operating system accepts connections also for a
 * process that is paused, so an accepted connection is no evidence. Confined to one event loop.
 */
final class HealthCheckClient {

  /** Time-out of a check; several network round trips. */
  private static final long TIMEOUT_MS = 400;

  private final Vertx vertx;
  private final EndpointConnectionPool connections;

  HealthCheckClient(Vertx vertx, EndpointConnectionPool connections) {
    this.vertx = vertx;
    this.connections = connections;
  }

  /**
   * Sends a health check and completes once a response arrives, whatever its status. Opens a
   * connection, because idle ones may be dead, and closes it afterwards.
   *
   * @param relay the VM through which the connection leads; empty for a direct connection
   */
  Future<Void> check(EndpointEntry endpoint, Optional<VmEntry> relay, ServiceSpec service) {
    return connections
        .open(endpoint, relay, service.maxConnections())
        .compose(connection -> checkOn(connection, service.healthPath()));
  }

  private Future<Void> checkOn(EndpointConnection connection, String path) {
    Promise<Void> responded = Promise.promise();
    long timer =
        vertx.setTimer(
            TIMEOUT_MS, fired -> responded.tryFail("no response within " + TIMEOUT_MS + " ms"));
    connection.onClose(() -> responded.tryFail("connection closed"));
    connection.awaitAnyResponse();
    connection
        .connection()
        .request(new RequestOptions().setMethod(HttpMethod.GET).setURI(path))
        .compose(HttpClientRequest::send)
        .onSuccess(response -> responded.tryComplete())
        .onFailure(responded::tryFail);
    return responded
        .future()
        .onComplete(
            done -> {
              vertx.cancelTimer(timer);
              connections.close(connection);
            });
  }
}
