package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.http.StrictRequestDecoder;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;

/** HTTP server for the readiness check and the metrics of this VM. */
final class ReadinessServer {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final HttpServerOptions options =
      StrictRequestDecoder.options().setTcpNoDelay(true).setReuseAddress(true);
  private final HttpServer server;
  private final BooleanSupplier ready;
  private final GatewayMetrics metrics;

  ReadinessServer(Vertx vertx, BooleanSupplier ready, GatewayMetrics metrics) {
    this.ready = ready;
    this.metrics = metrics;
    this.server = vertx.createHttpServer(options);
  }

  Future<HttpServer> listen(HostPort address) {
    return server
        .connectionHandler(connection -> StrictRequestDecoder.install(connection, options))
        .requestHandler(this::handle)
        .listen(address.port(), address.host());
  }

  private void handle(HttpServerRequest request) {
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
