package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.AttemptHistory;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.RetryAction;
import io.magnoliaroute.core.gateway.Route;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.platform.CallHeaders;
import io.magnoliaroute.platform.ReplyHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;

/**
 * Handles one client request from its arrival to its final response, across all attempts. Confined
 * to one event loop.
 */
final class Exchange implements Send.Listener {

  /** Size limit of a single event; several hundred times the usual size. */
  private static final int MAX_EVENT_BYTES = 131_072;

  private static final int PAYMENT_REQUIRED = 402;
  private static final int SERVER_FAILURE = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /**
   * Divisor of a request's time budget: the request is refused if no endpoint has become available
   * within this fraction of the budget.
   */
  private static final int ENDPOINT_WAIT_DIVISOR = 3;

  /** Delay before another attempt to place a request for which no endpoint was available. */
  private static final long PLACEMENT_RETRY_MS = 20;

  /**
   * Delay before a reconnect to an endpoint whose connection broke. A crashing process may still
   * accept connections for a moment; after this delay, only a running one does.
   */
  private static final long RECONNECT_DELAY_MS = 20;

  /**
   * {@code Retry-After} of refused requests; about the duration of a short request to a service
   * without streaming.
   */
  private static final long RETRY_AFTER_MS = 100;

  /**
   * {@code Retry-After} while no endpoint of the service accepts connections; about the time to the
   * next probe.
   */
  private static final long UNREACHABLE_RETRY_AFTER_MS = 500;

  private final Gateway gateway;
  private final Request request;
  private final ClientAnswer answer;
  private final AttemptHistory history;
  private final TurnReservation reservation;
  private final Fingerprint fingerprint;
  private final String service;
  private final Runnable whenOver;
  private final EventCutter events = new EventCutter(MAX_EVENT_BYTES);
  private final long untilMs;
  private Buffer buffered = Buffer.buffer();
  private int heldBytes;
  private ReplyHead head;
  private MultiMap replyHeaders;
  private Send current;
  private EndpointEntry lastBroken;
  private long timer;
  private boolean clientLeft;
  private boolean over;

  /**
   * A client request that has been received completely.
   *
   * @param route the route that the request matched
   * @param call the call parameters from the request headers
   * @param method the HTTP method
   * @param uri the path and query, as received
   * @param headers the headers, as received
   * @param body the complete body
   * @param arrivedMs the time at which the request head arrived
   */
  record Request(
      Route route,
      RequestMetadata call,
      HttpMethod method,
      String uri,
      MultiMap headers,
      Buffer body,
      long arrivedMs) {}

  Exchange(Gateway gateway, Request request, ClientAnswer response, Runnable onFinished) {
    this.gateway = gateway;
    this.request = request;
    this.answer = response;
    this.whenOver = onFinished;
    this.history = new AttemptHistory(request.route());
    this.reservation = new TurnReservation(gateway.budgets(), request.call());
    String key = request.call().programId().orElse(request.call().requestId());
    this.service = request.route().serviceFor(Hashing.fnv1a64(key) >>> 1);
    this.fingerprint =
        Fingerprint.ofServiceCall(
            request.uri(), request.method().name(), request.body().toString("ISO-8859-1"));
    long timeoutMs = request.call().deadlineMs().orElse(request.route().timeoutMs());
    this.untilMs = request.arrivedMs() + Math.min(timeoutMs, request.route().timeoutMs());
  }

  void start() {
    long leftMs = untilMs - now();
    if (leftMs <= 0) {
      refuse(UNAVAILABLE, "deadline passed", 0);
      return;
    }
    timer = gateway.vertx().setTimer(leftMs, fired -> timedOut());
    if (gateway.crashes().isQuarantined(fingerprint)) {
      refuse(UNAVAILABLE, "request crashed endpoints", 0);
      return;
    }
    if (isStream() && reservation.isNeeded()) {
      reserve();
    } else {
      dispatch();
    }
  }

  /**
   * Handles the disconnection of the client. Cancels the current attempt, unless the request must
   * not be retried: such an attempt runs to its end.
   */
  void clientLeft() {
    if (over) {
      return;
    }
    clientLeft = true;
    if (current != null && !mayRepeat()) {
      // A non-idempotent request that is already running is not cancelled; its response is
      // discarded.
      return;
    }
    finish("client_left", 0);
  }

  @Override
  public boolean mayRepeat() {
    return request.route().mayRepeat();
  }

  @Override
  public void replied(Send attempt, ReplyHead received, MultiMap headers) {
    if (received.isSuccess() && !received.signed()) {
      attempt.fail(AttemptFailure.BROKEN, "success response without signature");
      return;
    }
    if (answer.hasBegun()) {
      if (!received.isSuccess()) {
        attempt.cancel();
        finish("resume_refused", received.status());
      }
      return;
    }
    head = received;
    replyHeaders = headers;
    if (isStream() && received.isSuccess()) {
      answer.begin(received, headers);
    }
  }

  @Override
  public void bytes(Send attempt, Buffer bytes) {
    if (!answer.hasBegun()) {
      if (hold(buffered.length() + bytes.length())) {
        buffered.appendBuffer(bytes);
      } else {
        attempt.fail(AttemptFailure.BROKEN, "response body exceeds the buffer limit");
      }
      return;
    }
    try {
      pass(attempt, events.cut(bytes));
      if (!hold(events.partialBytes())) {
        attempt.fail(AttemptFailure.BROKEN, "incomplete event exceeds the buffer limit");
      }
    } catch (EventCutter.OversizedEventException e) {
      attempt.fail(AttemptFailure.BROKEN, e.getMessage());
    }
  }

  private void pass(Send attempt, Buffer completeEvents) {
    if (completeEvents.length() == 0) {
      return;
    }
    attempt.progressed(events.events());
    if (!answer.write(completeEvents)) {
      attempt.pause();
      answer.whenWritable(attempt::resume);
    }
  }

  private boolean hold(int newBytes) {
    boolean accepted = gateway.answers().resize(heldBytes, newBytes);
    heldBytes = accepted ? newBytes : heldBytes;
    return accepted;
  }

  @Override
  public void ended(Send attempt) {
    current = null;
    gateway.loads().recordOutcome(attempt.endpoint().id(), head.status() < SERVER_FAILURE, now());
    gateway.times().recordDuration(service, now() - attempt.sentAtMs());
    gateway.prefixes().recordProcessed(request.call().prefix(), attempt.endpoint());
    if (!answer.hasBegun()) {
      answer.whole(head, replyHeaders, buffered);
    } else {
      if (events.hasPartialEvent()) {
        answer.write(events.takeRest());
      }
      answer.end();
    }
    finish("answered", head.status());
  }

  @Override
  public void failed(Send attempt, AttemptFailure result, String cause) {
    current = null;
    EndpointEntry endpoint = attempt.endpoint();
    gateway.metrics().sendFailed(result.name());
    if (result == AttemptFailure.REFUSED_FULL) {
      gateway.loads().markFull(endpoint.id(), now() + PLACEMENT_RETRY_MS);
    }
    if (result == AttemptFailure.REFUSED_GONE) {
      gateway.beliefs().endpoints().removeDisplaced(endpoint);
    }
    if (result.mayHaveRun()) {
      lastBroken = endpoint;
      gateway.loads().recordOutcome(endpoint.id(), false, now());
    }
    if (result == AttemptFailure.UNREACHABLE) {
      blame(endpoint);
    }
    events.restart();
    buffered = Buffer.buffer();
    hold(0);
    next(endpoint, result, cause);
  }

  private void next(EndpointEntry endpoint, AttemptFailure result, String cause) {
    RetryAction step = history.recordFailure(result);
    gateway
        .log()
        .line("send_failed")
        .put("request", request.call().requestId())
        .put("endpoint", endpoint.id().value())
        .put("result", result.name())
        .put("cause", cause)
        .put("sends", history.attempts())
        .put("next", step.name())
        .write();
    if (over) {
      return;
    }
    if (clientLeft) {
      finish("client_left", 0);
      return;
    }
    switch (step) {
      case SAME_ENDPOINT ->
          gateway.vertx().setTimer(RECONNECT_DELAY_MS, fired -> reconnect(endpoint));
      case OTHER_ENDPOINT -> dispatch();
      case ANSWER_NOT_RUN -> refuse(UNAVAILABLE, "no endpoint took the request", RETRY_AFTER_MS);
      default -> refuse(BAD_GATEWAY, "the request may have run", 0);
    }
  }

  private void reserve() {
    reservation
        .reserve()
        .onSuccess(
            verdict -> {
              switch (verdict) {
                case GRANTED -> dispatchOrSettle();
                case EXHAUSTED -> refuse(PAYMENT_REQUIRED, "token budget spent", 0);
                default -> refuse(UNAVAILABLE, "token budget not known", RETRY_AFTER_MS);
              }
            });
  }

  private void dispatchOrSettle() {
    if (over) {
      settle();
    } else {
      dispatch();
    }
  }

  private void dispatch() {
    if (over) {
      return;
    }
    Optional<EndpointEntry> picked =
        gateway.picker().select(service, request.call(), history.avoided(), now());
    if (picked.isPresent() && gateway.loads().isUnreachable(picked.get().id())) {
      dispatchIfReachable();
      return;
    }
    if (picked.isPresent()) {
      connect(picked.get(), false);
      return;
    }
    history.avoided().clear();
    long waitedMs = now() - request.arrivedMs();
    if (waitedMs >= (untilMs - request.arrivedMs()) / ENDPOINT_WAIT_DIVISOR) {
      refuseWithoutEndpoint(RETRY_AFTER_MS);
      return;
    }
    gateway.vertx().setTimer(PLACEMENT_RETRY_MS, fired -> dispatch());
  }

  // Probes all endpoints in parallel: connection attempts to unreachable endpoints one after the
  // other would only delay the client's response.
  private void dispatchIfReachable() {
    gateway
        .reachability()
        .anyReachable(service)
        .onSuccess(
            reachable -> {
              if (reachable) {
                history.avoided().clear();
                dispatch();
              } else {
                refuseWithoutEndpoint(UNREACHABLE_RETRY_AFTER_MS);
              }
            });
  }

  private void refuseWithoutEndpoint(long retryAfterMs) {
    if (history.mayHaveRun()) {
      refuse(BAD_GATEWAY, "no endpoint left", 0);
    } else {
      refuse(UNAVAILABLE, "no endpoint", retryAfterMs);
    }
  }

  private void reconnect(EndpointEntry endpoint) {
    if (over) {
      return;
    }
    if (mayGet(endpoint)) {
      connect(endpoint, true);
    } else {
      next(endpoint, AttemptFailure.LEAVING, "endpoint has left the service");
    }
  }

  private boolean mayGet(EndpointEntry endpoint) {
    return gateway.beliefs().endpoints().maySendTo(endpoint, now());
  }

  private void connect(EndpointEntry endpoint, boolean newConnection) {
    history.beginAttempt(endpoint.id());
    // An endpoint that has refused this request may send the refusal twice. A new connection keeps
    // the late copy from being read as the response to this attempt.
    Optional<EndpointConnection> idle =
        newConnection || history.wasRefusedBy(endpoint.id())
            ? Optional.empty()
            : gateway.connections().takeIdle(endpoint);
    if (idle.isPresent()) {
      send(idle.get());
      return;
    }
    int maxConnections = spec().map(ServiceSpec::maxConnections).orElse(1);
    gateway
        .connections()
        .open(endpoint, maxConnections)
        .onSuccess(
            connection -> {
              if (over) {
                gateway.connections().release(connection, Optional.empty());
              } else {
                send(connection);
              }
            })
        .onFailure(e -> notConnected(endpoint, e));
  }

  private void notConnected(EndpointEntry endpoint, Throwable cause) {
    boolean limitReached = cause instanceof EndpointConnections.NoConnectionLeftException;
    if (!limitReached) {
      gateway.reachability().markUnreachable(endpoint, String.valueOf(cause.getMessage()));
      if (endpoint.equals(lastBroken)) {
        blame(endpoint);
      }
    }
    gateway.metrics().sendFailed(limitReached ? "NO_CONNECTION_LEFT" : "NOT_CONNECTED");
    next(
        endpoint,
        limitReached ? AttemptFailure.REFUSED_FULL : AttemptFailure.NOT_CONNECTED,
        String.valueOf(cause.getMessage()));
  }

  // An endpoint that broke the connection of a request and then accepts no connection has probably
  // crashed.
  private void blame(EndpointEntry endpoint) {
    lastBroken = null;
    gateway.crashes().recordLocalCrash(fingerprint, endpoint.id());
  }

  private void send(EndpointConnection connection) {
    // The endpoint may have announced its departure while the connection was being opened.
    if (!mayGet(connection.endpoint())) {
      gateway.connections().close(connection);
      next(connection.endpoint(), AttemptFailure.LEAVING, "endpoint has left the service");
      return;
    }
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    long leftMs = Math.max(1, untilMs - now());
    CallHeaders.encode(request.headers(), headers, connection.endpoint(), leftMs, events.lastId());
    EndpointEntry endpoint = connection.endpoint();
    gateway
        .log()
        .line("request_sent")
        .put("request", request.call().requestId())
        .put("endpoint", endpoint.id().value())
        .put("service", service)
        .put("busy", (long) gateway.loads().estimatedRequests(endpoint.id(), now()))
        .put("pace_percent", (long) (100 * gateway.loads().slowdown(endpoint.id(), now())))
        .put("entry_sequence", endpoint.sequence())
        .put("left_ms", leftMs)
        .put("after_event", events.lastId().orElse(""))
        .write();
    current = new Send(gateway, connection, this, request.call().requestId());
    current.start(
        new Send.Content(
            request.method(), request.uri(), headers, request.body(), request.call().requestId()));
  }

  private void timedOut() {
    if (over) {
      return;
    }
    boolean sent = current != null || history.mayHaveRun();
    if (current != null && !current.hasReplied()) {
      gateway.loads().recordOutcome(current.endpoint().id(), false, now());
    }
    if (answer.hasBegun()) {
      finish("timeout", 0);
      return;
    }
    refuse(sent ? GATEWAY_TIMEOUT : UNAVAILABLE, "timeout", sent ? 0 : RETRY_AFTER_MS);
  }

  private void refuse(int status, String reason, long retryAfterMs) {
    if (over) {
      return;
    }
    gateway.metrics().refused(reason);
    if (!answer.hasBegun()) {
      answer.own(status, reason, retryAfterMs);
    }
    finish(reason, status);
  }

  private void finish(String outcome, int status) {
    if (over) {
      return;
    }
    over = true;
    gateway.vertx().cancelTimer(timer);
    if (current != null) {
      current.cancel();
      current = null;
    }
    answer.breakOff();
    hold(0);
    settle();
    gateway.metrics().answered(status);
    gateway.metrics().took(request.route().name(), now() - request.arrivedMs());
    gateway
        .log()
        .line("request_ended")
        .put("request", request.call().requestId())
        .put("program", request.call().programId().orElse(""))
        .put("route", request.route().name())
        .put("outcome", outcome)
        .put("status", status)
        .put("events", events.events())
        .put("sends", history.attempts())
        .put("took_ms", now() - request.arrivedMs())
        .put("config", gateway.beliefs().tableVersion())
        .write();
    whenOver.run();
  }

  private void settle() {
    int tokensPerEvent = spec().map(ServiceSpec::tokensPerEvent).orElse(0);
    reservation.settle(tokensPerEvent, events.events());
  }

  private Optional<ServiceSpec> spec() {
    return gateway.beliefs().table().flatMap(table -> table.service(service));
  }

  @Override
  public boolean isStream() {
    return request.route().kind().isStream();
  }

  private long now() {
    return gateway.clock().millis();
  }
}
