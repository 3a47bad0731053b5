package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.vertx.core.http.HttpClientConnection;

/** A pooled connection to an endpoint. Carries one request at a time. */
final class EndpointConnection {

  private final EndpointEntry endpoint;
  private final HttpClientConnection connection;
  private Runnable onClose = () -> {};
  private boolean closed;
  private boolean reused;
  private long reusableUntilMs;

  EndpointConnection(EndpointEntry endpoint, HttpClientConnection connection) {
    this.endpoint = endpoint;
    this.connection = connection;
  }

  EndpointEntry endpoint() {
    return endpoint;
  }

  HttpClientConnection connection() {
    return connection;
  }

  boolean isClosed() {
    return closed;
  }

  /** Sets the handler that runs when the connection closes, replacing any previous one. */
  void onClose(Runnable handler) {
    onClose = handler;
  }

  void markClosed() {
    closed = true;
    onClose.run();
  }

  /** Returns whether the connection has carried a request before. */
  boolean isReused() {
    return reused;
  }

  /** Marks the connection as idle and reusable until the given time. */
  void markIdleUntil(long untilMs) {
    reused = true;
    onClose = () -> {};
    reusableUntilMs = untilMs;
  }

  boolean isReusable(long nowMs) {
    return !closed && nowMs < reusableUntilMs;
  }
}
