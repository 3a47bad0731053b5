package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.platform.ReplyHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * One attempt to run a client request on one endpoint connection. Reports its outcome exactly once.
 * Confined to one event loop.
 */
final class Send {

  /** Limit of 1xx responses per attempt; a healthy endpoint sends at most one. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  private final Gateway gateway;
  private final EndpointConnection connection;
  private final Listener listener;
  private final String requestId;
  private HttpClientResponse response;
  private ReplyHead head;
  private boolean written;
  private boolean replied;
  private boolean over;
  private boolean broken;
  private long sentAtMs;
  private long heardAtMs;
  private long progressedAtMs;
  private long aliveAtMs;
  private long eventsReceived;
  private int interimAnswers;

  /** Receives the response and the outcome of an attempt. */
  interface Listener {

    /** Handles the head of a response that belongs to the request. */
    void replied(Send attempt, ReplyHead head, MultiMap headers);

    /** Handles the next bytes of the response body. */
    void bytes(Send attempt, Buffer bytes);

    /** Handles the end of a complete response. */
    void ended(Send attempt);

    /** Handles the failure of the attempt. */
    void failed(Send attempt, AttemptFailure result, String cause);

    /** Returns whether the request may be retried after an attempt that may have run it. */
    boolean mayRepeat();

    /** Returns whether the response is an event stream. */
    boolean isStream();
  }

  /** The request as it is written to the endpoint. */
  record Content(HttpMethod method, String uri, MultiMap headers, Buffer body, String requestId) {}

  Send(Gateway gateway, EndpointConnection connection, Listener listener, String requestId) {
    this.gateway = gateway;
    this.connection = connection;
    this.listener = listener;
    this.requestId = requestId;
  }

  EndpointEntry endpoint() {
    return connection.endpoint();
  }

  long heardAtMs() {
    return heardAtMs;
  }

  /** Returns when the response last made progress: when its head or a complete event arrived. */
  long progressedAtMs() {
    return progressedAtMs;
  }

  /**
   * Records the arrival of complete events.
   *
   * @param received number of events of this response that the client has received so far
   */
  void progressed(long received) {
    progressedAtMs = gateway.clock().millis();
    eventsReceived = received;
  }

  /**
   * Returns when the attempt last received bytes, or when an engine report last confirmed that the
   * request is active, whichever is later.
   */
  long aliveAtMs() {
    return Math.max(heardAtMs, aliveAtMs);
  }

  /** Records that an engine report has confirmed the request as active. */
  void seenAlive() {
    aliveAtMs = gateway.clock().millis();
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

  boolean hasReplied() {
    return replied;
  }

  boolean mayRepeat() {
    return listener.mayRepeat();
  }

  boolean isStream() {
    return listener.isStream();
  }

  void start(Content outbound) {
    sentAtMs = gateway.clock().millis();
    heardAtMs = sentAtMs;
    progressedAtMs = sentAtMs;
    gateway.loads().requestStarted(endpoint().id());
    gateway.watchdog().add(this);
    connection.whenClosed(() -> brokenOff("connection closed"));
    RequestOptions options =
        new RequestOptions().setMethod(outbound.method()).setURI(outbound.uri());
    connection
        .connection()
        .request(options)
        .onSuccess(request -> write(request, outbound))
        .onFailure(e -> brokenOff(String.valueOf(e.getMessage())));
  }

  /** Cancels the attempt and closes its connection without notifying the listener. */
  void cancel() {
    if (!over) {
      finish();
      gateway.connections().close(connection);
    }
  }

  /** Fails the attempt for a reason that the caller has detected. */
  void fail(AttemptFailure result, String cause) {
    if (over) {
      return;
    }
    finish();
    gateway.connections().close(connection);
    listener.failed(this, result, cause);
  }

  void pause() {
    response.pause();
  }

  void resume() {
    response.resume();
  }

  private void write(HttpClientRequest request, Content outbound) {
    if (over) {
      return;
    }
    request.headers().setAll(outbound.headers());
    request.exceptionHandler(e -> brokenOff(String.valueOf(e.getMessage())));
    request.earlyHintsHandler(hints -> interimAnswer());
    request.continueHandler(go -> interimAnswer());
    request.response().onSuccess(this::reply);
    request.response().onFailure(e -> brokenOff(String.valueOf(e.getMessage())));
    request.send(outbound.body()).onSuccess(sent -> written = true);
    request.end().onSuccess(sent -> written = true);
  }

  // Every interim response takes time on the event loop, and a faulty endpoint may send an
  // unlimited number of them.
  private void interimAnswer() {
    if (++interimAnswers > MAX_INTERIM_RESPONSES) {
      fail(AttemptFailure.BROKEN, "more than " + MAX_INTERIM_RESPONSES + " interim responses");
    }
  }

  private void reply(HttpClientResponse received) {
    if (over) {
      return;
    }
    response = received;
    head = ReplyHead.decode(received.statusCode(), received.headers());
    heard();
    progressedAtMs = heardAtMs;
    if (head.leaving()) {
      gateway.departures().reportedByEndpoint(endpoint());
    }
    head.load()
        .ifPresent(
            load -> gateway.loads().recordReport(endpoint().id(), load, gateway.clock().millis()));
    if (isForeign()) {
      fail(AttemptFailure.BROKEN, "response belongs to another request");
      return;
    }
    received.exceptionHandler(
        e -> {
          broken = true;
          brokenOff(String.valueOf(e.getMessage()));
        });
    received.handler(this::received);
    received.endHandler(ended -> ended());
    if (!head.notRun()) {
      replied = true;
      gateway.loads().markReachable(endpoint().id());
      listener.replied(this, head, received.headers());
    }
  }

  // A response belongs to this request only if it carries the request's id. A refusal may omit the
  // id, but is then accepted only on a connection that has carried no other request.
  private boolean isForeign() {
    if (head.requestId().isPresent()) {
      return !head.requestId().get().equals(requestId);
    }
    return !head.notRun() || connection.isReused();
  }

  private void received(Buffer bytes) {
    if (over) {
      return;
    }
    heard();
    if (replied) {
      listener.bytes(this, bytes);
    }
  }

  private void ended() {
    if (over || broken) {
      return;
    }
    heard();
    finish();
    if (written && !head.closing() && !head.leaving()) {
      gateway.connections().release(connection, head.idleTimeoutMs());
    } else {
      gateway.connections().close(connection);
    }
    if (replied) {
      listener.ended(this);
    } else {
      listener.failed(
          this,
          head.isMisdirected() ? AttemptFailure.REFUSED_GONE : AttemptFailure.REFUSED_FULL,
          "status " + head.status());
    }
  }

  private void brokenOff(String cause) {
    if (!over) {
      finish();
      gateway.connections().close(connection);
      listener.failed(this, AttemptFailure.BROKEN, cause);
    }
  }

  private void heard() {
    heardAtMs = gateway.clock().millis();
    gateway.watchdog().heard(endpoint().id(), heardAtMs);
  }

  private void finish() {
    over = true;
    gateway.loads().requestEnded(endpoint().id());
    gateway.watchdog().remove(this);
  }
}
