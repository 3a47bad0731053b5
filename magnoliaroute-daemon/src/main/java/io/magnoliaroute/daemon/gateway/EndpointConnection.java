package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.vertx.core.http.HttpClientConnection;

/** One open connection to an endpoint; carries one request at a time. */
final class EndpointConnection {

  private final EndpointEntry endpoint;
  private final HttpClientConnection connection;
  private Runnable whenClosed = () -> {};
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

  /** Sets what a request on the connection does when it closes; the last one set counts. */
  void whenClosed(Runnable newWhenClosed) {
    whenClosed = newWhenClosed;
  }

  void markClosed() {
    closed = true;
    whenClosed.run();
  }

  /** Returns whether the connection has carried a request before. */
  boolean isReused() {
    return reused;
  }

  void keepUntil(long untilMs) {
    reused = true;
    whenClosed = () -> {};
    reusableUntilMs = untilMs;
  }

  boolean isReusable(long nowMs) {
    return !closed && nowMs < reusableUntilMs;
  }
}
