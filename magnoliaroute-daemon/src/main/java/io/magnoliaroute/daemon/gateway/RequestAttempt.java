package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.platform.ResponseHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Optional;

/**
 * One attempt to run a client request on one endpoint connection. Reports its outcome exactly once.
 * Confined to one event loop.
 */
final class RequestAttempt {

  /** Limit of 1xx responses per attempt; a healthy endpoint sends at most one. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  private final GatewayContext gateway;
  private final EndpointConnection connection;
  private final Listener listener;
  private final String requestId;
  private HttpClientResponse response;
  private ResponseHead responseHead;
  private boolean requestWritten;
  private boolean responseStarted;
  private boolean finished;
  private boolean responseFailed;
  private boolean responseEnded;
  private long sentAtMs;
  private long lastReceivedAtMs;
  private long lastProgressAtMs;
  private long lastActiveAtMs;
  private long eventsReceived;
  private int interimResponses;

  /** Receives the response and the outcome of an attempt. */
  interface Listener {

    /** Handles the head of a response that belongs to the request. */
    void onResponseHead(RequestAttempt attempt, ResponseHead head, MultiMap headers);

    /** Handles the next bytes of the response body. */
    void onBody(RequestAttempt attempt, Buffer bytes);

    /** Handles the end of a complete response. */
    void onCompleted(RequestAttempt attempt);

    /** Handles the failure of the attempt. */
    void onFailed(RequestAttempt attempt, AttemptFailure failure, String cause);

    /**
     * Handles an open attempt without a response whose connection has carried no bytes for long.
     */
    void onSilent(RequestAttempt attempt);

    /** Returns whether the request may be retried after an attempt that may have run it. */
    boolean isRetryable();

    /** Returns whether the response is an event stream. */
    boolean isStream();
  }

  /** The request as it is written to the endpoint. */
  record OutboundRequest(
      HttpMethod method, String uri, MultiMap headers, Buffer body, String requestId) {}

  RequestAttempt(
      GatewayContext gateway, EndpointConnection connection, Listener listener, String requestId) {
    this.gateway = gateway;
    this.connection = connection;
    this.listener = listener;
    this.requestId = requestId;
  }

  EndpointEntry endpoint() {
    return connection.endpoint();
  }

  /** Returns whether the path of the connection was lost after the attempt had begun. */
  boolean isPathLost() {
    return connection.isPathLost();
  }

  long lastReceivedAtMs() {
    return lastReceivedAtMs;
  }

  /** Returns when the response last made progress: when its head or a complete event arrived. */
  long lastProgressAtMs() {
    return lastProgressAtMs;
  }

  /**
   * Records the arrival of complete events.
   *
   * @param received number of events of this response that the client has received so far
   */
  void recordProgress(long received) {
    lastProgressAtMs = gateway.clock().millis();
    eventsReceived = received;
  }

  /**
   * Returns when the attempt last received bytes, or when its silence was last explained or
   * reported, whichever is later.
   */
  long lastActiveAtMs() {
    return Math.max(lastReceivedAtMs, lastActiveAtMs);
  }

  /** Restarts the period of silence after an engine report has confirmed the request as active. */
  void confirmActive() {
    lastActiveAtMs = gateway.clock().millis();
  }

  /** Reports the silence of the connection to the listener, which may repeat the request. */
  void reportSilence() {
    if (mayHaveFailed()) {
      fail(AttemptFailure.FAILED_INCOMPLETE, "the rest of the response does not arrive");
      return;
    }
    lastActiveAtMs = gateway.clock().millis();
    listener.onSilent(this);
  }

  long eventsReceived() {
    return eventsReceived;
  }

  String requestId() {
    return requestId;
  }

  long sentAtMs() {
    return sentAtMs;
  }

  /** Returns the head of the last response that was received, whichever request it belongs to. */
  Optional<ResponseHead> lastResponseHead() {
    return Optional.ofNullable(responseHead);
  }

  EndpointConnection connection() {
    return connection;
  }

  boolean hasResponseStarted() {
    return responseStarted;
  }

  boolean isRetryable() {
    return listener.isRetryable();
  }

  boolean isStream() {
    return listener.isStream();
  }

  void start(OutboundRequest outbound) {
    sentAtMs = gateway.clock().millis();
    lastReceivedAtMs = sentAtMs;
    lastProgressAtMs = sentAtMs;
    gateway.loads().recordRequestStart(endpoint().id());
    gateway.watchdog().add(this);
    connection.onClose(() -> handleConnectionFailure("connection closed"));
    if (connection.hasDiscardedBytes()) {
      handleConnectionFailure("bytes received before the request was sent");
      return;
    }
    connection.awaitResponse(requestId, outbound.method(), new SurplusListener());
    RequestOptions options =
        new RequestOptions().setMethod(outbound.method()).setURI(outbound.uri());
    connection
        .connection()
        .request(options)
        .onSuccess(request -> write(request, outbound))
        .onFailure(e -> handleConnectionFailure(String.valueOf(e.getMessage())));
  }

  /** Cancels the attempt and closes its connection without notifying the listener. */
  void cancel() {
    if (!finished) {
      finish();
      gateway.connections().close(connection);
    }
  }

  /**
   * Fails the attempt for a reason that the caller has detected. The listener learns {@link
   * AttemptFailure#FAILED_INCOMPLETE} instead if the endpoint may have responded with a failure.
   */
  void fail(AttemptFailure failure, String cause) {
    if (finished) {
      return;
    }
    boolean isFinal = failure.mayHaveRun() && mayHaveFailed();
    finish();
    gateway.connections().close(connection);
    listener.onFailed(this, isFinal ? AttemptFailure.FAILED_INCOMPLETE : failure, cause);
  }

  // A failure without an id may belong to another request, but is not known to.
  private boolean mayHaveFailed() {
    if (responseHead == null) {
      return connection.mayHaveReceivedFailure();
    }
    return !responseHead.isSuccess()
        && !responseHead.notRun()
        && responseHead.requestId().map(requestId::equals).orElse(true);
  }

  void pause() {
    response.pause();
  }

  void resume() {
    response.resume();
  }

  private void write(HttpClientRequest request, OutboundRequest outbound) {
    if (finished) {
      return;
    }
    request.headers().setAll(outbound.headers());
    request.exceptionHandler(e -> handleConnectionFailure(String.valueOf(e.getMessage())));
    request.earlyHintsHandler(hints -> countInterimResponse());
    request.continueHandler(go -> countInterimResponse());
    request.response().onSuccess(this::handleResponse);
    request.response().onFailure(e -> handleConnectionFailure(String.valueOf(e.getMessage())));
    request.end(outbound.body()).onSuccess(written -> requestWritten = true);
  }

  // Every interim response takes time on the event loop, and a faulty endpoint may send an
  // unlimited number of them.
  private void countInterimResponse() {
    if (++interimResponses > MAX_INTERIM_RESPONSES) {
      fail(AttemptFailure.BROKEN, "more than " + MAX_INTERIM_RESPONSES + " interim responses");
    }
  }

  private void handleResponse(HttpClientResponse received) {
    if (finished) {
      return;
    }
    if (!ResponseHead.isValidStatus(received.statusCode())) {
      fail(AttemptFailure.BROKEN, "status " + received.statusCode() + " is not valid");
      return;
    }
    response = received;
    responseHead = ResponseHead.decode(received.statusCode(), received.headers());
    recordReceipt();
    lastProgressAtMs = lastReceivedAtMs;
    if (responseHead.isShuttingDown()) {
      gateway.departures().onShutdownReport(endpoint());
    }
    responseHead
        .load()
        .ifPresent(
            load -> gateway.loads().recordReport(endpoint().id(), load, gateway.clock().millis()));
    if (belongsToOtherRequest()) {
      // The request's own response may follow, or may be inside this one.
      fail(
          connection.isReused() ? AttemptFailure.FAILED_INCOMPLETE : AttemptFailure.BROKEN,
          "response belongs to another request");
      return;
    }
    if (!responseHead.isMisdirected()) {
      gateway.requestPermits().onResponseHead(endpoint(), responseHead, sentAtMs);
    }
    received.exceptionHandler(
        e -> {
          responseFailed = true;
          handleConnectionFailure(String.valueOf(e.getMessage()));
        });
    received.handler(this::handleBody);
    received.endHandler(ended -> handleEnd());
    if (!responseHead.notRun()) {
      responseStarted = true;
      gateway.loads().markReachable(endpoint().id());
      listener.onResponseHead(this, responseHead, received.headers());
    }
  }

  // A response belongs to this request only if it carries the request's id. A refusal may omit the
  // id, but is then accepted only on a connection that has carried no other request.
  private boolean belongsToOtherRequest() {
    if (responseHead.requestId().isPresent()) {
      return !responseHead.requestId().get().equals(requestId);
    }
    return !responseHead.notRun() || connection.isReused();
  }

  private void handleBody(Buffer bytes) {
    if (finished) {
      return;
    }
    recordReceipt();
    if (responseStarted) {
      listener.onBody(this, bytes);
    }
  }

  private void handleEnd() {
    if (finished || responseFailed) {
      return;
    }
    recordReceipt();
    if (!responseHead.endsWithConnection()) {
      complete();
      return;
    }
    // After a failed write, a reset connection ends like one that the endpoint has closed.
    if (!requestWritten) {
      fail(AttemptFailure.BROKEN, "the connection ended before the request was written");
      return;
    }
    responseEnded = true;
    gateway
        .tunnelEnds()
        .isClosedByEndpoint(connection)
        .onSuccess(
            closedByEndpoint -> {
              if (finished) {
                return;
              }
              if (closedByEndpoint) {
                complete();
              } else {
                fail(AttemptFailure.BROKEN, "the relay did not confirm the end of the response");
              }
            });
  }

  private void complete() {
    finish();
    if (requestWritten && !responseHead.closesConnection() && !responseHead.isShuttingDown()) {
      gateway.connections().release(connection, responseHead.idleTimeoutMs());
    } else {
      gateway.connections().close(connection);
    }
    if (responseStarted) {
      listener.onCompleted(this);
    } else {
      listener.onFailed(
          this,
          responseHead.isMisdirected() ? AttemptFailure.REFUSED_GONE : AttemptFailure.REFUSED_FULL,
          "status " + responseHead.status());
    }
  }

  private void handleConnectionFailure(String cause) {
    if (!responseEnded) {
      fail(AttemptFailure.BROKEN, cause);
    }
  }

  private void recordReceipt() {
    lastReceivedAtMs = gateway.clock().millis();
    gateway.watchdog().recordReceipt(endpoint().id(), lastReceivedAtMs);
    gateway.connections().recordContact(connection);
  }

  private void finish() {
    finished = true;
    gateway.loads().recordRequestEnd(endpoint().id());
    gateway.watchdog().remove(this);
  }

  // Surplus responses are no sign that the endpoint works on this request, so they leave the times
  // unchanged by which a silent connection is detected.
  private final class SurplusListener implements EndpointResponseDecoder.Listener {

    @Override
    public void onSurplusResponse(ResponseHead head, long bodyBytes) {
      gateway.metrics().count("surplus_responses");
      gateway
          .log()
          .line("response_skipped")
          .put("request", requestId)
          .put("endpoint", endpoint().id().value())
          .put("status", head.status())
          .put("responds_to", head.requestId().orElse(""))
          .put("bytes", bodyBytes)
          .write();
    }

    @Override
    public void onFailure(AttemptFailure failure, String cause) {
      fail(failure, cause);
    }
  }
}
