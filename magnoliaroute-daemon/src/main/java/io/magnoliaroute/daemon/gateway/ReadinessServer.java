package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.http.StrictRequestDecoder;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;

/** HTTP server for the readiness check and the metrics of this VM. */
final class ReadinessServer {

  /** The platform checks the readiness once a second, and reads the metrics every 5 s. */
  private static final int MAX_CONNECTIONS = 16;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final HttpServerOptions options =
      StrictRequestDecoder.options().setTcpNoDelay(true).setReuseAddress(true);
  private final HttpServer server;
  private final BooleanSupplier ready;
  private final GatewayMetrics metrics;
  private final ConnectionLimiter<HttpConnection> connections;

  ReadinessServer(Vertx vertx, BooleanSupplier ready, GatewayMetrics metrics) {
    this.ready = ready;
    this.metrics = metrics;
    this.server = vertx.createHttpServer(options);
    this.connections = new ConnectionLimiter<>(MAX_CONNECTIONS, this::evict);
  }

  Future<HttpServer> listen(HostPort address) {
    return server
        .connectionHandler(this::handleConnectionOpened)
        .requestHandler(this::handle)
        .listen(address.port(), address.host());
  }

  private void handleConnectionOpened(HttpConnection connection) {
    StrictRequestDecoder.install(connection, options);
    connection.closeHandler(closed -> connections.remove(connection));
    connections.add(connection);
  }

  private void evict(HttpConnection connection) {
    metrics.count("readiness_connections_evicted");
    connection.close();
  }

  private void handle(HttpServerRequest request) {
    connections.recordActivity(request.connection());
    switch (request.path()) {
      case "/-/ready" -> {
        boolean isReady = ready.getAsBoolean();
        request
            .response()
            .setStatusCode(isReady ? OK : UNAVAILABLE)
            .end(isReady ? "ready\n" : "not ready\n");
      }
      case "/metrics" -> request.response().end(metrics.text());
      default -> request.response().setStatusCode(NOT_FOUND).end();
    }
  }
}
