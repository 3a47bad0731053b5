package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;

/** The pool of connections from this VM to endpoints. Confined to one event loop. */
final class EndpointConnectionPool {

  /**
   * Connect time-out; several times the network latency to any data centre of a region. A healthy
   * endpoint accepts within it.
   */
  static final int CONNECT_TIMEOUT_MS = 250;

  /** Idle time-out that is assumed if an endpoint does not report one. */
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 4_000;

  /**
   * Fraction of the idle time-out during which a connection may be reused. Towards the end of the
   * time-out the endpoint may already be closing it.
   */
  private static final double REUSABLE_IDLE_FRACTION = 0.7;

  private static final int MAX_HEADER_BYTES = 65_536;

  /**
   * Size of the send buffer. A request counts as written once it is in this buffer, so that without
   * a limit an upload of some megabytes would count as written while the endpoint has read none of
   * it.
   */
  static final int SEND_BUFFER_BYTES = 65_536;

  private final HttpClientAgent client;
  private final InstantSource clock;
  private final Map<EndpointId, Pool> pools = new HashMap<>();
  private final IntUnaryOperator connectionShare;
  private final Map<EndpointId, Long> lastContactMs = new HashMap<>();
  private Consumer<EndpointId> closeListener = endpoint -> {};
  private long openedCount;

  private static final class Pool {
    private final Deque<EndpointConnection> idle = new ArrayDeque<>();
    private final Set<EndpointConnection> open = new HashSet<>();
    private int connecting;
    private long startedAtMs;

    // Connections on a lost path do not take the place of those on the path that replaces it.
    private int size() {
      return connecting + (int) open.stream().filter(each -> !each.isPathLost()).count();
    }
  }

  /**
   * Thrown when this VM already has as many connections open to an endpoint as its share allows.
   */
  static final class ConnectionLimitReachedException extends Exception {

    private static final long serialVersionUID = 1L;

    ConnectionLimitReachedException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Creates an empty pool.
   *
   * @param connectionShare maps the number of connections that an endpoint accepts to the share of
   *     this VM
   */
  EndpointConnectionPool(Vertx vertx, InstantSource clock, IntUnaryOperator connectionShare) {
    this.clock = clock;
    this.connectionShare = connectionShare;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setTcpNoDelay(true)
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setKeepAlive(true)
                .setPipelining(false)
                .setDecompressionSupported(false));
  }

  /** Sets the listener that receives the endpoint of each connection that this VM did not close. */
  void setCloseListener(Consumer<EndpointId> listener) {
    closeListener = listener;
  }

  /** Returns the number of connections that have been opened since the start. */
  long openedCount() {
    return openedCount;
  }

  /**
   * Removes and returns a reusable idle connection for the request, if there is one. A connection
   * carries a request only once: a repeated response to an earlier attempt bears the same id.
   *
   * @param relay the VM through which the connection leads; empty for a direct connection
   */
  Optional<EndpointConnection> pollIdle(
      EndpointEntry endpoint, Optional<VmEntry> relay, String requestId) {
    Pool pool = pool(endpoint);
    long nowMs = clock.millis();
    while (!pool.idle.isEmpty()) {
      EndpointConnection candidate = pool.idle.pollLast();
      if (candidate.isReusable(nowMs)
          && candidate.relay().equals(relay)
          && !candidate.hasCarried(requestId)) {
        return Optional.of(candidate);
      }
      close(candidate);
    }
    return Optional.empty();
  }

  /**
   * Opens a connection to the endpoint. Fails with {@link ConnectionLimitReachedException} if the
   * share of this VM is in use.
   *
   * @param relay the VM through which the connection leads; empty for a direct connection
   * @param maxConnections the number of connections that the endpoint accepts from all VMs
   */
  Future<EndpointConnection> open(
      EndpointEntry endpoint, Optional<VmEntry> relay, int maxConnections) {
    Pool pool = pool(endpoint);
    if (pool.size() >= connectionShare.applyAsInt(maxConnections)) {
      return Future.failedFuture(
          new ConnectionLimitReachedException(
              pool.size() + " connections open to " + endpoint.id()));
    }
    pool.connecting++;
    openedCount++;
    return connect(endpoint, relay)
        .onComplete(done -> pool.connecting--)
        .map(
            connection -> {
              EndpointResponseDecoder responses =
                  EndpointResponseDecoder.install(connection, MAX_HEADER_BYTES);
              EndpointConnection pooled =
                  new EndpointConnection(endpoint, relay, connection, responses);
              responses.onUnexpectedBytes(() -> closeIfIdle(pooled));
              pool.open.add(pooled);
              recordContact(pooled);
              connection.exceptionHandler(e -> close(pooled));
              connection.closeHandler(
                  closed -> {
                    pool.open.remove(pooled);
                    pool.idle.remove(pooled);
                    if (!pooled.isClosing()) {
                      closeListener.accept(endpoint.id());
                    }
                    pooled.markClosed();
                  });
              return pooled;
            });
  }

  /**
   * Probes whether the endpoint accepts connections; fails if it does not. Opens a connection,
   * which then stays in the pool. An endpoint whose share of connections is in use counts as
   * reachable.
   *
   * @param relay the VM through which the connection leads; empty for a direct connection
   * @param maxConnections the number of connections that the endpoint accepts from all VMs
   */
  Future<Void> probe(EndpointEntry endpoint, Optional<VmEntry> relay, int maxConnections) {
    return open(endpoint, relay, maxConnections)
        .onSuccess(connection -> release(connection, Optional.empty()))
        .<Void>mapEmpty()
        .recover(
            e ->
                e instanceof ConnectionLimitReachedException
                    ? Future.succeededFuture()
                    : Future.failedFuture(e));
  }

  /** Returns a connection to the pool for reuse. */
  void release(EndpointConnection connection, Optional<Long> idleTimeoutMs) {
    if (connection.isClosed()) {
      return;
    }
    if (connection.isPathLost() || connection.hasDiscardedBytes()) {
      close(connection);
      return;
    }
    long idleMs = (long) (idleTimeoutMs.orElse(DEFAULT_IDLE_TIMEOUT_MS) * REUSABLE_IDLE_FRACTION);
    connection.markIdleUntil(clock.millis() + idleMs);
    pool(connection.endpoint()).idle.addLast(connection);
  }

  /**
   * Closes a connection, which aborts the request that it carries, if any. Does not wait for bytes
   * that are not written yet: an endpoint that does not read would keep the connection open.
   */
  void close(EndpointConnection connection) {
    if (!connection.isClosed()) {
      pools.get(connection.endpoint().id()).idle.remove(connection);
      connection.markClosing();
      ClientPipelines.close(connection.connection());
    }
  }

  /** Returns whether this VM has a connection to the endpoint. */
  boolean isConnected(EndpointId endpoint) {
    Pool pool = pools.get(endpoint);
    return pool != null && !pool.open.isEmpty();
  }

  /**
   * Records that the endpoint has accepted the connection or sent bytes on it, which shows that the
   * direct path works, unless the connection leads through another VM.
   */
  void recordContact(EndpointConnection connection) {
    if (connection.relay().isEmpty()) {
      lastContactMs.put(connection.endpoint().id(), clock.millis());
    }
  }

  /** Returns when the endpoint last accepted a direct connection or sent bytes on one. */
  long lastContactMs(EndpointId endpoint) {
    return lastContactMs.getOrDefault(endpoint, Long.MIN_VALUE / 2);
  }

  /** Closes the idle connections on a lost path and marks the ones that carry requests. */
  void markPathLost(EndpointId endpoint, Optional<VmEntry> relay) {
    for (EndpointConnection each : openOn(endpoint, relay)) {
      each.markPathLost();
      closeIfIdle(each);
    }
  }

  /** Closes the idle connections on a path that is no longer used. */
  void closeIdle(EndpointId endpoint, Optional<VmEntry> relay) {
    openOn(endpoint, relay).forEach(this::closeIfIdle);
  }

  private List<EndpointConnection> openOn(EndpointId endpoint, Optional<VmEntry> relay) {
    Pool pool = pools.get(endpoint);
    return pool == null
        ? List.of()
        : pool.open.stream().filter(each -> each.relay().equals(relay)).toList();
  }

  private void closeIfIdle(EndpointConnection connection) {
    if (pool(connection.endpoint()).idle.remove(connection)) {
      close(connection);
    }
  }

  /** Closes the idle connections to an endpoint that receives no further requests. */
  void closeIdle(EndpointId endpoint) {
    Pool pool = pools.get(endpoint);
    while (pool != null && !pool.idle.isEmpty()) {
      close(pool.idle.poll());
    }
  }

  /** Closes the idle connections that are no longer reusable. */
  void closeExpired() {
    long nowMs = clock.millis();
    for (Pool pool : pools.values()) {
      for (Iterator<EndpointConnection> idle = pool.idle.iterator(); idle.hasNext(); ) {
        EndpointConnection connection = idle.next();
        if (!connection.isReusable(nowMs)) {
          idle.remove();
          close(connection);
        }
      }
    }
  }

  private Future<HttpClientConnection> connect(EndpointEntry endpoint, Optional<VmEntry> relay) {
    HttpConnectOptions options =
        new HttpConnectOptions()
            .setServer(
                SocketAddress.inetSocketAddress(
                    endpoint.address().port(), endpoint.address().host()))
            .setHost(endpoint.address().host())
            .setPort(endpoint.address().port())
            .setConnectTimeout(CONNECT_TIMEOUT_MS);
    relay.ifPresent(
        vm ->
            options
                .setServer(TunnelRequest.address(endpoint))
                .setProxyOptions(TunnelRequest.proxyOptions(vm)));
    return client.connect(options);
  }

  // Connections to an earlier incarnation of the endpoint, which used the same id, are stale.
  private Pool pool(EndpointEntry endpoint) {
    Pool pool = pools.computeIfAbsent(endpoint.id(), id -> new Pool());
    if (pool.startedAtMs != endpoint.startedAtMs()) {
      pool.startedAtMs = endpoint.startedAtMs();
      while (!pool.idle.isEmpty()) {
        close(pool.idle.poll());
      }
    }
    return pool;
  }
}
