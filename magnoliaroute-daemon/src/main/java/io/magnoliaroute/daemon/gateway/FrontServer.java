package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ClientLimits;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.platform.CallHeaders;
import io.magnoliaroute.platform.PlatformFormatException;
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
final class FrontServer {

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

  private final Gateway gateway;
  private final HttpServer server;
  private final Map<HttpConnection, ClientConnection> connections = new HashMap<>();
  private boolean stopping;
  private int active;

  private static final class ClientConnection {
    private int requests;
    private long idleSinceMs;
  }

  FrontServer(Gateway gateway) {
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
        .connectionHandler(this::connected)
        .requestHandler(this::handle)
        .listen(address.port(), address.host());
  }

  /** Returns the number of requests in progress. */
  int active() {
    return active;
  }

  int openConnections() {
    return connections.size();
  }

  /** Begins the shutdown: from now on, each response closes its connection. */
  void beginStop() {
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
      if (state.requests == 0 && nowMs - state.idleSinceMs >= idleMs) {
        entry.getKey().close();
      }
    }
  }

  private void connected(HttpConnection connection) {
    ClientConnection state = new ClientConnection();
    state.idleSinceMs = gateway.clock().millis();
    connections.put(connection, state);
    connection.closeHandler(closed -> connections.remove(connection));
    connection.exceptionHandler(e -> gateway.metrics().count("client_connection_errors"));
  }

  private void handle(HttpServerRequest request) {
    ClientConnection state =
        connections.computeIfAbsent(request.connection(), key -> new ClientConnection());
    state.requests++;
    active++;
    ClientAnswer response = new ClientAnswer(request, () -> stopping);
    Runnable onFinished =
        new Runnable() {
          private boolean ran;

          @Override
          public void run() {
            if (!ran) {
              ran = true;
              state.requests--;
              state.idleSinceMs = gateway.clock().millis();
              active--;
              if (stopping) {
                closeSoon(request.connection(), state);
              }
            }
          }
        };
    Reading reader = new Reading(request, response, onFinished, gateway.clock().millis());
    request.exceptionHandler(e -> reader.clientLeft());
    request.response().closeHandler(closed -> reader.clientLeft());
    reader.begin();
  }

  // The response is still being written, so the connection is closed after a short delay.
  private void closeSoon(HttpConnection connection, ClientConnection state) {
    gateway
        .vertx()
        .setTimer(
            50,
            fired -> {
              if (state.requests == 0) {
                connection.close();
              }
            });
  }

  private ClientLimits limits() {
    return gateway.beliefs().table().map(RoutingTable::limits).orElse(ClientLimits.DEFAULT);
  }

  /** Reads one request until its body is complete. */
  private final class Reading {

    private final HttpServerRequest request;
    private final ClientAnswer answer;
    private final Runnable whenOver;
    private final long arrivedMs;
    private final Buffer body = Buffer.buffer();
    private Exchange exchange;
    private boolean over;
    private long timer;

    Reading(HttpServerRequest request, ClientAnswer response, Runnable onFinished, long arrivedMs) {
      this.request = request;
      this.answer = response;
      this.whenOver = onFinished;
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
      request.handler(this::bytes);
      request.endHandler(ended -> whole());
    }

    void clientLeft() {
      if (exchange != null) {
        exchange.clientLeft();
      } else if (!over) {
        end();
      }
    }

    private void bytes(Buffer bytes) {
      if (over) {
        return;
      }
      body.appendBuffer(bytes);
      if (body.length() > limits().maxBodyBytes()) {
        reject(TOO_LARGE, "the body is too large", 0);
      }
    }

    private void whole() {
      if (over) {
        return;
      }
      Optional<RoutingTable> table = gateway.beliefs().table();
      if (table.isEmpty() || !gateway.beliefs().canRoute()) {
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
        RequestMetadata call = CallHeaders.decode(request.headers());
        start(route.get(), call);
      } catch (PlatformFormatException e) {
        reject(BAD_REQUEST, e.getMessage(), 0);
      }
    }

    private void start(Route route, RequestMetadata call) {
      gateway.vertx().cancelTimer(timer);
      over = true;
      exchange =
          new Exchange(
              gateway,
              new Exchange.Request(
                  route, call, request.method(), request.uri(), request.headers(), body, arrivedMs),
              answer,
              whenOver);
      exchange.start();
    }

    private void reject(int status, String reason, long retryAfterMs) {
      if (over) {
        return;
      }
      gateway.metrics().refused(reason);
      gateway
          .log()
          .line("request_rejected")
          .put("request", String.valueOf(request.headers().get("X-Request-Id")))
          .put("status", status)
          .put("reason", reason)
          .put("config", gateway.beliefs().tableVersion())
          .write();
      boolean bodyIncomplete = !request.isEnded();
      answer.own(status, reason, retryAfterMs);
      end();
      if (bodyIncomplete) {
        closeSoon(request.connection(), new ClientConnection());
      }
    }

    private void end() {
      over = true;
      gateway.vertx().cancelTimer(timer);
      whenOver.run();
    }

    private String path() {
      String uri = request.uri();
      int query = uri.indexOf('?');
      return query < 0 ? uri : uri.substring(0, query);
    }

    // Several lengths, or a length together with chunked encoding, allow request smuggling: the
    // body
    // can contain a second request.
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
