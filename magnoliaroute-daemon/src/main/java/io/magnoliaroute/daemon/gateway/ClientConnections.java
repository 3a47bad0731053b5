package io.magnoliaroute.daemon.gateway;

import io.vertx.core.http.HttpConnection;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The open connections of clients. Beyond the limit, the connection that is idle for longest is
 * closed; if none is idle, the one that has been sending an incomplete request for longest. A
 * request counts from the end of its head. Confined to one event loop.
 */
final class ClientConnections {

  /** Time for which a request may be incomplete before its connection gives way to a new one. */
  static final long MIN_SENDING_MS = 1_000;

  private final int maxOpen;
  private final InstantSource clock;
  private final GatewayMetrics metrics;
  private final Map<HttpConnection, State> states = new HashMap<>();

  /** The connections without a request in progress, the one that is idle for longest first. */
  private final Set<HttpConnection> idle = new LinkedHashSet<>();

  /** When the requests began whose bodies are incomplete, by connection, the earliest first. */
  private final Map<HttpConnection, Long> sendingSinceMs = new LinkedHashMap<>();

  /** The state of one connection. */
  static final class State {
    private int activeRequests;
    private long idleSinceMs;
    private boolean used;
    private boolean closing;

    private State(long idleSinceMs) {
      this.idleSinceMs = idleSinceMs;
    }

    boolean hasActiveRequests() {
      return activeRequests > 0;
    }

    boolean isClosing() {
      return closing;
    }

    /** Marks that the last response has been written. */
    void markClosing() {
      closing = true;
    }
  }

  ClientConnections(int maxOpen, InstantSource clock, GatewayMetrics metrics) {
    this.maxOpen = maxOpen;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Adds a new connection; returns false if it exceeds the limit and no other one gives way. */
  boolean add(HttpConnection connection) {
    if (states.size() >= maxOpen && !closeLongestIdle() && !closeLongestSending()) {
      metrics.count("client_connections_refused");
      return false;
    }
    states.put(connection, new State(clock.millis()));
    idle.add(connection);
    connection.closeHandler(closed -> remove(connection));
    return true;
  }

  /** Returns the state of a connection; empty if it has been closed. */
  Optional<State> find(HttpConnection connection) {
    return Optional.ofNullable(states.get(connection));
  }

  void beginRequest(HttpConnection connection, State state) {
    state.used = true;
    state.activeRequests++;
    idle.remove(connection);
    sendingSinceMs.put(connection, clock.millis());
  }

  /** Records that a request has arrived completely. */
  void completeRequest(HttpConnection connection) {
    sendingSinceMs.remove(connection);
  }

  void endRequest(HttpConnection connection, State state) {
    state.activeRequests--;
    sendingSinceMs.remove(connection);
    state.idleSinceMs = clock.millis();
    if (state.activeRequests == 0 && states.containsKey(connection)) {
      idle.add(connection);
    }
  }

  /** Returns the number of open connections that have carried a request. */
  int usedCount() {
    return (int) states.values().stream().filter(state -> state.used).count();
  }

  /**
   * Closes the connections that carry no request at present. New connections are kept, because
   * their first request is usually on its way.
   */
  void closeIdle() {
    for (HttpConnection connection : List.copyOf(idle)) {
      if (states.get(connection).used) {
        connection.close();
      }
    }
  }

  /** Closes the connections that have carried no request for the given time. */
  void closeExpired(long idleTimeoutMs) {
    for (HttpConnection connection : List.copyOf(idle)) {
      if (clock.millis() - states.get(connection).idleSinceMs >= idleTimeoutMs) {
        connection.close();
      }
    }
  }

  private boolean closeLongestIdle() {
    Iterator<HttpConnection> candidates = idle.iterator();
    if (!candidates.hasNext()) {
      return false;
    }
    evict(candidates.next());
    return true;
  }

  private boolean closeLongestSending() {
    for (Map.Entry<HttpConnection, Long> each : sendingSinceMs.entrySet()) {
      if (clock.millis() - each.getValue() < MIN_SENDING_MS) {
        return false;
      }
      if (states.get(each.getKey()).activeRequests == 1) {
        evict(each.getKey());
        return true;
      }
    }
    return false;
  }

  private void evict(HttpConnection connection) {
    metrics.count("client_connections_evicted");
    remove(connection);
    connection.close();
  }

  private void remove(HttpConnection connection) {
    states.remove(connection);
    idle.remove(connection);
    sendingSinceMs.remove(connection);
  }
}
