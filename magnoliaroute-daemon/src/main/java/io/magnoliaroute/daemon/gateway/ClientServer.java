package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ClientLimits;
import io.magnoliaroute.core.gateway.ReceiveMemoryLimiter;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.workspace.KeyAuthorization;
import io.magnoliaroute.core.gateway.workspace.Workspace;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.http.StrictRequestDecoder;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.RequestHeaderCodec;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** HTTP server for clients. Reads and validates their requests. Confined to one event loop. */
final class ClientServer {

  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TIMED_OUT = 408;
  private static final int TOO_LARGE = 413;
  private static final int URI_TOO_LONG = 414;
  private static final int HEADER_TOO_LARGE = 431;
  private static final int UNAVAILABLE = 503;

  /** {@code Retry-After} while this VM has not loaded its configuration yet. */
  private static final long NOT_READY_RETRY_AFTER_MS = 300;

  /** {@code Retry-After} of requests refused during a shutdown, which other VMs can serve. */
  private static final long STOPPING_RETRY_AFTER_MS = 100;

  /**
   * Time for which bytes are still read, and discarded, after the last response of a connection.
   * Closed at once, the connection could be reset before the client has read the response.
   */
  private static final long CLOSE_DELAY_MS = 50;

  /** Divisor of the heap: the memory for all requests that are being received or processed. */
  private static final int REQUEST_MEMORY_DIVISOR = 3;

  /** Share of the memory for requests that is left to small ones. */
  private static final double SMALL_REQUEST_SHARE = 0.125;

  /** {@code Retry-After} while the memory for requests is short; about the time of an upload. */
  private static final long MEMORY_RETRY_AFTER_MS = 500;

  private final GatewayContext gateway;
  private final ReceiveMemoryLimiter requestMemory;
  private final HttpServerOptions options;
  private final HttpServer server;
  private final ClientConnections connections;
  private final Set<RequestReader> readers = new LinkedHashSet<>();
  private boolean stopping;
  private long acceptAllUntilMs = Long.MAX_VALUE;
  private long stopLimitMs = Long.MAX_VALUE;
  private int activeRequests;

  /**
   * Creates a server that does not listen yet.
   *
   * @param maxConnections limit of open connections; beyond it, the one that is idle for longest is
   *     closed
   */
  ClientServer(GatewayContext gateway, int maxConnections) {
    this.gateway = gateway;
    this.connections = new ClientConnections(maxConnections, gateway.clock(), gateway.metrics());
    this.options =
        StrictRequestDecoder.options()
            .setTcpNoDelay(true)
            .setReuseAddress(true)
            .setAcceptBacklog(BACKLOG)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxInitialLineLength(MAX_HEADER_BYTES)
            .setHandle100ContinueAutomatically(true)
            .setDecompressionSupported(false)
            .setCompressionSupported(false);
    this.server = gateway.vertx().createHttpServer(options);
    long memoryBytes = Runtime.getRuntime().maxMemory() / REQUEST_MEMORY_DIVISOR;
    this.requestMemory =
        new ReceiveMemoryLimiter(
            memoryBytes, (long) ((1 - SMALL_REQUEST_SHARE) * memoryBytes), gateway.clock());
    gateway.turnHistory().setRequestMemory(requestMemory);
  }

  Future<HttpServer> listen(HostPort address) {
    return server
        .connectionHandler(this::handleConnectionOpened)
        .requestHandler(this::handle)
        .invalidRequestHandler(this::handle)
        .listen(address.port(), address.host());
  }

  /** Returns the number of requests in progress. */
  int activeRequests() {
    return activeRequests;
  }

  /** Returns the number of open connections that have carried a request. */
  int usedConnections() {
    return connections.usedCount();
  }

  /**
   * Begins the shutdown: from now on, each response closes its connection, and requests that may
   * not end in time are refused.
   *
   * @param newAcceptAllUntilMs until when clients are still directed to this VM, so that it takes
   *     all requests
   * @param newStopLimitMs the time at which requests in progress are ended
   */
  void beginShutdown(long newAcceptAllUntilMs, long newStopLimitMs) {
    stopping = true;
    acceptAllUntilMs = newAcceptAllUntilMs;
    stopLimitMs = newStopLimitMs;
  }

  /** Gives all requests in progress their last response, and refuses all further ones. */
  void endRequests() {
    acceptAllUntilMs = Long.MIN_VALUE;
    stopLimitMs = Long.MIN_VALUE;
    List.copyOf(readers).forEach(RequestReader::handleShutdown);
  }

  /** Closes the used connections that carry no request at present. */
  void closeIdle() {
    connections.closeIdle();
  }

  /** Closes the connections that have exceeded the idle time-out of clients. */
  void closeExpired() {
    connections.closeExpired(limits().idleTimeoutMs());
  }

  private void handleConnectionOpened(HttpConnection connection) {
    StrictRequestDecoder.install(connection, options);
    if (!connections.add(connection)) {
      connection.close();
      return;
    }
    connection.exceptionHandler(e -> gateway.metrics().count("client_connection_errors"));
  }

  private void handle(HttpServerRequest request) {
    HttpConnection connection = request.connection();
    Optional<ClientConnections.State> open = connections.find(connection);
    if (open.isEmpty() || open.get().isClosing()) {
      // The last response of this connection has been written; the client learns from its close
      // that this request has not been read.
      return;
    }
    ClientConnections.State state = open.get();
    connections.beginRequest(connection, state);
    activeRequests++;
    ClientResponse response = new ClientResponse(request, () -> stopping);
    Runnable onFinished =
        new Runnable() {
          private boolean ran;

          @Override
          public void run() {
            if (!ran) {
              ran = true;
              connections.endRequest(connection, state);
              activeRequests--;
              if (stopping) {
                closeAfterDelay(connection, state);
              }
            }
          }
        };
    RequestReader reader =
        new RequestReader(request, response, state, onFinished, gateway.clock().millis());
    request.exceptionHandler(e -> reader.handleClientDisconnect());
    request.response().closeHandler(closed -> reader.handleClientDisconnect());
    reader.begin();
  }

  private void closeAfterDelay(HttpConnection connection, ClientConnections.State state) {
    gateway
        .vertx()
        .setTimer(
            CLOSE_DELAY_MS,
            fired -> {
              if (!state.hasActiveRequests()) {
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
    private final RequestHead head;
    private final ClientResponse response;
    private final ClientConnections.State connection;
    private final Runnable onFinished;
    private final long arrivedMs;
    private final RequestBody body;
    private Exchange exchange;
    private boolean finished;
    private long timer;

    RequestReader(
        HttpServerRequest request,
        ClientResponse response,
        ClientConnections.State connection,
        Runnable onFinished,
        long arrivedMs) {
      this.request = request;
      this.head = RequestHead.of(request);
      this.response = response;
      this.connection = connection;
      this.onFinished = onFinished;
      this.arrivedMs = arrivedMs;
      this.body =
          new RequestBody(requestMemory.begin(this::refuseForMemory), head.announcedBytes());
    }

    void begin() {
      if (request.decoderResult().isFailure()) {
        rejectMalformed(request.decoderResult().cause());
        return;
      }
      if (head.bytes() > limits().maxHeaderBytes()) {
        reject(HEADER_TOO_LARGE, "the header is too large", 0);
        return;
      }
      if (head.announcedBytes() > limits().maxBodyBytes()) {
        reject(TOO_LARGE, "the body is too large", 0);
        return;
      }
      if (!body.tryReserve()) {
        refuseForMemory();
        return;
      }
      readers.add(this);
      timer =
          gateway
              .vertx()
              .setTimer(
                  limits().idleTimeoutMs(),
                  fired -> reject(TIMED_OUT, "the body did not arrive in time", 0));
      request.handler(this::appendBody);
      request.endHandler(ended -> handleCompleteBody());
    }

    void handleShutdown() {
      if (exchange != null) {
        exchange.handleShutdown();
      } else {
        reject(UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER_MS);
      }
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
      if (body.length() + bytes.length() > limits().maxBodyBytes()) {
        reject(TOO_LARGE, "the body is too large", 0);
      } else if (!body.tryAppend(bytes)) {
        refuseForMemory();
      }
    }

    private void refuseForMemory() {
      String detail = requestMemory.totalBytes() + " bytes in use";
      reject(UNAVAILABLE, "request memory limit reached", detail, MEMORY_RETRY_AFTER_MS);
    }

    private void handleCompleteBody() {
      connections.completeRequest(request.connection());
      if (finished) {
        return;
      }
      Optional<RoutingTable> table = gateway.routingState().table();
      if (table.isEmpty() || !gateway.routingState().canRoute()) {
        reject(UNAVAILABLE, "no configuration yet", NOT_READY_RETRY_AFTER_MS);
        return;
      }
      String host = request.headers().get("Host");
      Optional<Route> route = table.get().match(host == null ? "" : host, head.path());
      if (route.isEmpty()) {
        reject(NOT_FOUND, "no route", 0);
        return;
      }
      KeyAuthorization authorization =
          gateway.keys().authorize(table.get(), route.get(), request.headers());
      switch (authorization.verdict()) {
        case REJECTED -> reject(UNAUTHORIZED, "unknown key", 0);
        case UNCERTAIN -> reject(UNAVAILABLE, "key not confirmed", NOT_READY_RETRY_AFTER_MS);
        default -> startExchange(table.get(), route.get(), authorization.workspace());
      }
    }

    private void startExchange(RoutingTable table, Route route, Optional<Workspace> workspace) {
      try {
        RequestMetadata metadata = RequestHeaderCodec.decode(request.headers());
        startExchange(
            new ClientRequest(
                route,
                table.workspaces().isPresent(),
                workspace,
                metadata,
                request.method(),
                request.uri(),
                request.headers(),
                body.complete(),
                arrivedMs));
      } catch (PlatformFormatException e) {
        reject(BAD_REQUEST, "malformed request", e.getMessage(), 0);
      }
    }

    private void startExchange(ClientRequest complete) {
      if (!mayEndBeforeStop(complete)) {
        reject(UNAVAILABLE, "stopping", STOPPING_RETRY_AFTER_MS);
        return;
      }
      gateway.vertx().cancelTimer(timer);
      finished = true;
      exchange = new Exchange(gateway, complete, response, this::onExchangeFinished);
      exchange.start();
    }

    private void onExchangeFinished() {
      body.release();
      readers.remove(this);
      onFinished.run();
    }

    // A request that is still running at the limit would get no result, and one that may run only
    // once could not be retried.
    private boolean mayEndBeforeStop(ClientRequest complete) {
      return gateway.clock().millis() < acceptAllUntilMs || complete.deadlineMs() <= stopLimitMs;
    }

    private void rejectMalformed(Throwable cause) {
      int status = BAD_REQUEST;
      if (cause instanceof TooLongHttpLineException) {
        status = URI_TOO_LONG;
      } else if (cause instanceof TooLongHttpHeaderException) {
        status = HEADER_TOO_LARGE;
      }
      reject(status, "malformed request", String.valueOf(cause.getMessage()), 0);
    }

    private void reject(int status, String reason, long retryAfterMs) {
      reject(status, reason, "", retryAfterMs);
    }

    // The detail may contain text of the client, so it is no label of a metric.
    private void reject(int status, String reason, String detail, long retryAfterMs) {
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
          .put("detail", detail)
          .put("config", gateway.routingState().tableVersion())
          .write();
      boolean bodyIncomplete = !request.isEnded();
      if (bodyIncomplete) {
        connection.markClosing();
        response.closeAfterEnd();
      }
      response.writeOwn(status, detail.isEmpty() ? reason : reason + ": " + detail, retryAfterMs);
      finish();
      if (bodyIncomplete) {
        closeAfterDelay(request.connection(), connection);
      }
    }

    private void finish() {
      finished = true;
      body.release();
      readers.remove(this);
      gateway.vertx().cancelTimer(timer);
      onFinished.run();
    }
  }
}
