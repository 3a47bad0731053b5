package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/** A pooled connection to an endpoint, direct or through a relay. Carries one request at a time. */
final class EndpointConnection {

  private final EndpointEntry endpoint;
  private final Optional<VmEntry> relay;
  private final HttpClientConnection connection;
  private final EndpointResponseDecoder responses;
  private boolean pathLost;
  private Runnable onClose = () -> {};
  private boolean closing;
  private boolean closed;
  private boolean carriesRequests;
  private boolean reused;
  private long reusableUntilMs;

  EndpointConnection(
      EndpointEntry endpoint,
      Optional<VmEntry> relay,
      HttpClientConnection connection,
      EndpointResponseDecoder responses) {
    this.endpoint = endpoint;
    this.relay = relay;
    this.connection = connection;
    this.responses = responses;
  }

  EndpointEntry endpoint() {
    return endpoint;
  }

  /** Returns the VM through which the connection leads; empty if it is direct. */
  Optional<VmEntry> relay() {
    return relay;
  }

  /** Marks that no new connection can be established on the path of this one. */
  void markPathLost() {
    pathLost = true;
  }

  /** Returns whether the path of the connection was lost after it had been opened. */
  boolean isPathLost() {
    return pathLost;
  }

  HttpClientConnection connection() {
    return connection;
  }

  /**
   * Begins to await the response to a request that is about to be written. Surplus responses are
   * discarded if the connection has carried a request before.
   */
  void awaitResponse(
      String requestId, HttpMethod method, EndpointResponseDecoder.Listener listener) {
    reused = carriesRequests;
    carriesRequests = true;
    boolean isHead = method.equals(HttpMethod.HEAD);
    responses.awaitResponse(
        new EndpointResponseDecoder.Request(requestId, isHead, reused), listener);
  }

  /** Begins to await the response to the only request on this connection. */
  void awaitAnyResponse() {
    responses.awaitAnyResponse();
  }

  /** Returns whether surplus bytes have arrived, after which the connection is not reused. */
  boolean hasDiscardedBytes() {
    return responses.hasDiscardedBytes();
  }

  /** Returns whether one of the latest requests on the connection had this id. */
  boolean hasCarried(String requestId) {
    return responses.hasCarried(requestId);
  }

  /**
   * Returns whether the bytes received since the request began, without surplus responses, are or
   * can become a response with another status than 2xx.
   */
  boolean mayHaveReceivedFailure() {
    return responses.mayHaveReceivedFailure();
  }

  /** Marks that this VM is closing the connection. */
  void markClosing() {
    closing = true;
  }

  boolean isClosing() {
    return closing;
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

  /** Returns whether the connection has carried another request before the current one. */
  boolean isReused() {
    return reused;
  }

  /** Marks the connection as idle and reusable until the given time. */
  void markIdleUntil(long untilMs) {
    onClose = () -> {};
    reusableUntilMs = untilMs;
  }

  boolean isReusable(long nowMs) {
    return !closed && nowMs < reusableUntilMs;
  }
}
