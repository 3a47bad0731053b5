package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ClientLimits;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.RequestHeaderCodec;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** HTTP server for clients. Reads and validates their requests. Confined to one event loop. */
final class ClientServer {

  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int TIMED_OUT = 408;
  private static final int TOO_LARGE = 413;
  private static final int HEADER_TOO_LARGE = 431;
  private static final int UNAVAILABLE = 503;

  /** {@code Retry-After} while this VM has not loaded its configuration yet. */
  private static final long NOT_READY_RETRY_AFTER_MS = 300;

  private final GatewayContext gateway;
  private final HttpServer server;
  private final Map<HttpConnection, ClientConnection> connections = new HashMap<>();
  private boolean stopping;
  private int activeRequests;

  private static final class ClientConnection {
    private int activeRequests;
    private long idleSinceMs;
  }

  ClientServer(GatewayContext gateway) {
    this.gateway = gateway;
    this.server =
        gateway
            .vertx()
            .createHttpServer(
                new HttpServerOptions()
                    .setTcpNoDelay(true)
                    .setReuseAddress(true)
                    .setAcceptBacklog(BACKLOG)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxInitialLineLength(MAX_HEADER_BYTES)
                    .setHandle100ContinueAutomatically(true)
                    .setDecompressionSupported(false)
                    .setCompressionSupported(false));
  }

  Future<HttpServer> listen(HostPort address) {
    return server
        .connectionHandler(this::handleConnectionOpened)
        .requestHandler(this::handle)
        .listen(address.port(), address.host());
  }

  /** Returns the number of requests in progress. */
  int activeRequests() {
    return activeRequests;
  }

  int openConnections() {
    return connections.size();
  }

  /** Begins the shutdown: from now on, each response closes its connection. */
  void beginShutdown() {
    stopping = true;
  }

  /** Closes the connections that carry no request. */
  void closeIdle() {
    closeIdleFor(0);
  }

  /** Closes the connections that have exceeded the idle time-out of clients. */
  void closeExpired() {
    closeIdleFor(limits().idleTimeoutMs());
  }

  private void closeIdleFor(long idleMs) {
    long nowMs = gateway.clock().millis();
    for (Map.Entry<HttpConnection, ClientConnection> entry : List.copyOf(connections.entrySet())) {
      ClientConnection state = entry.getValue();
      if (state.activeRequests == 0 && nowMs - state.idleSinceMs >= idleMs) {
        entry.getKey().close();
      }
    }
  }

  private void handleConnectionOpened(HttpConnection connection) {
    ClientConnection state = new ClientConnection();
    state.idleSinceMs = gateway.clock().millis();
    connections.put(connection, state);
    connection.closeHandler(closed -> connections.remove(connection));
    connection.exceptionHandler(e -> gateway.metrics().count("client_connection_errors"));
  }

  private void handle(HttpServerRequest request) {
    ClientConnection state =
        connections.computeIfAbsent(request.connection(), key -> new ClientConnection());
    state.activeRequests++;
    activeRequests++;
    ClientResponse response = new ClientResponse(request, () -> stopping);
    Runnable onFinished =
        new Runnable() {
          private boolean ran;

          @Override
          public void run() {
            if (!ran) {
              ran = true;
              state.activeRequests--;
              state.idleSinceMs = gateway.clock().millis();
              activeRequests--;
              if (stopping) {
                closeAfterDelay(request.connection(), state);
              }
            }
          }
        };
    RequestReader reader =
        new RequestReader(request, response, onFinished, gateway.clock().millis());
    request.exceptionHandler(e -> reader.handleClientDisconnect());
    request.response().closeHandler(closed -> reader.handleClientDisconnect());
    reader.begin();
  }

  // The response is still being written, so the connection is closed after a short delay.
  private void closeAfterDelay(HttpConnection connection, ClientConnection state) {
    gateway
        .vertx()
        .setTimer(
            50,
            fired -> {
              if (state.activeRequests == 0) {
                connection.close();
              }
            });
  }

  private ClientLimits limits() {
    return gateway.routingState().table().map(RoutingTable::limits).orElse(ClientLimits.DEFAULT);
  }

  /** Reads one request until its body is complete. */
  private final class RequestReader {

    private final HttpServerRequest request;
    private final ClientResponse response;
    private final Runnable onFinished;
    private final long arrivedMs;
    private final Buffer body = Buffer.buffer();
    private Exchange exchange;
    private boolean finished;
    private long timer;

    RequestReader(
        HttpServerRequest request, ClientResponse response, Runnable onFinished, long arrivedMs) {
      this.request = request;
      this.response = response;
      this.onFinished = onFinished;
      this.arrivedMs = arrivedMs;
    }

    void begin() {
      if (isAmbiguous()) {
        reject(BAD_REQUEST, "the length of the body is ambiguous", 0);
        return;
      }
      if (headerBytes() > limits().maxHeaderBytes()) {
        reject(HEADER_TOO_LARGE, "the header is too large", 0);
        return;
      }
      timer =
          gateway
              .vertx()
              .setTimer(
                  limits().idleTimeoutMs(),
                  fired -> reject(TIMED_OUT, "the body did not arrive in time", 0));
      request.handler(this::appendBody);
      request.endHandler(ended -> handleCompleteBody());
    }

    void handleClientDisconnect() {
      if (exchange != null) {
        exchange.handleClientDisconnect();
      } else if (!finished) {
        finish();
      }
    }

    private void appendBody(Buffer bytes) {
      if (finished) {
        return;
      }
      body.appendBuffer(bytes);
      if (body.length() > limits().maxBodyBytes()) {
        reject(TOO_LARGE, "the body is too large", 0);
      }
    }

    private void handleCompleteBody() {
      if (finished) {
        return;
      }
      Optional<RoutingTable> table = gateway.routingState().table();
      if (table.isEmpty() || !gateway.routingState().canRoute()) {
        reject(UNAVAILABLE, "no configuration yet", NOT_READY_RETRY_AFTER_MS);
        return;
      }
      String host = request.headers().get("Host");
      Optional<Route> route = table.get().match(host == null ? "" : host, path());
      if (route.isEmpty()) {
        reject(NOT_FOUND, "no route", 0);
        return;
      }
      try {
        RequestMetadata metadata = RequestHeaderCodec.decode(request.headers());
        startExchange(route.get(), metadata);
      } catch (PlatformFormatException e) {
        reject(BAD_REQUEST, e.getMessage(), 0);
      }
    }

    private void startExchange(Route route, RequestMetadata metadata) {
      gateway.vertx().cancelTimer(timer);
      finished = true;
      exchange =
          new Exchange(
              gateway,
              new ClientRequest(
                  route,
                  metadata,
                  request.method(),
                  request.uri(),
                  request.headers(),
                  body,
                  arrivedMs),
              response,
              onFinished);
      exchange.start();
    }

    private void reject(int status, String reason, long retryAfterMs) {
      if (finished) {
        return;
      }
      gateway.metrics().countRefused(reason);
      gateway
          .log()
          .line("request_rejected")
          .put("request", String.valueOf(request.headers().get("X-Request-Id")))
          .put("status", status)
          .put("reason", reason)
          .put("config", gateway.routingState().tableVersion())
          .write();
      boolean bodyIncomplete = !request.isEnded();
      response.writeOwn(status, reason, retryAfterMs);
      finish();
      if (bodyIncomplete) {
        closeAfterDelay(request.connection(), new ClientConnection());
      }
    }

    private void finish() {
      finished = true;
      gateway.vertx().cancelTimer(timer);
      onFinished.run();
    }

    private String path() {
      String uri = request.uri();
      int query = uri.indexOf('?');
      return query < 0 ? uri : uri.substring(0, query);
    }

    // Several lengths, or a length together with chunked encoding, allow request smuggling: the
    // body can contain a second request.
    private boolean isAmbiguous() {
      List<String> lengths = request.headers().getAll("Content-Length");
      List<String> codings = request.headers().getAll("Transfer-Encoding");
      if (lengths.size() > 1 || codings.size() > 1) {
        return true;
      }
      if (!codings.isEmpty() && !codings.get(0).strip().equalsIgnoreCase("chunked")) {
        return true;
      }
      return !lengths.isEmpty() && !codings.isEmpty();
    }

    private int headerBytes() {
      int bytes = request.uri().length();
      for (Map.Entry<String, String> field : request.headers()) {
        bytes += field.getKey().length() + field.getValue().length() + 4;
      }
      return bytes;
    }
  }
}
