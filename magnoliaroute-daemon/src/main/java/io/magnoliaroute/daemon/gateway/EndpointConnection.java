package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.netty.channel.Channel;
import io.vertx.core.http.HttpClientConnection;
import java.util.Optional;

/** A pooled connection to an endpoint, direct or through a relay. Carries one request at a time. */
final class EndpointConnection {

  private final EndpointEntry endpoint;
  private final Optional<VmEntry> relay;
  private final HttpClientConnection connection;
  private final ResponseStart responseStart = new ResponseStart();
  private boolean pathLost;
  private Runnable onClose = () -> {};
  private boolean closed;
  private boolean reused;
  private long reusableUntilMs;

  EndpointConnection(
      EndpointEntry endpoint, Optional<VmEntry> relay, HttpClientConnection connection) {
    this.endpoint = endpoint;
    this.relay = relay;
    this.connection = connection;
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

  /** Reads the connection's responses from the channel, before they are decoded. */
  void observe(Channel channel) {
    channel.pipeline().addFirst(responseStart);
  }

  /** Prepares for the response to the next request. */
  void beginRequest() {
    responseStart.reset();
  }

  /**
   * Returns whether the bytes received since the request began are, or can become, a response with
   * another status than 2xx.
   */
  boolean mayHaveReceivedFailure() {
    return responseStart.mayBeFailure();
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
