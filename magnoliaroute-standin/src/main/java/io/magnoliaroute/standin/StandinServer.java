package io.magnoliaroute.standin;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/** An HTTP server on an ephemeral port of the loopback interface. */
public final class StandinServer {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAX_HEADER_BYTES = 64 * 1024;

  private final HttpServer server;

  private StandinServer(HttpServer server) {
    this.server = server;
  }

  /** Starts a server for the handler on a port that the operating system selects. */
  public static Future<StandinServer> listen(Vertx vertx, Handler<HttpServerRequest> handler) {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(LOOPBACK)
            .setPort(0)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setTcpNoDelay(true);
    return vertx.createHttpServer(options).requestHandler(handler).listen().map(StandinServer::new);
  }

  /** Returns the address that the server is bound to. */
  public String host() {
    return LOOPBACK;
  }

  /** Returns the port that the server is bound to. */
  public int port() {
    return server.actualPort();
  }

  /** Stops listening and closes all connections. */
  public Future<Void> close() {
    return server.close();
  }
}
