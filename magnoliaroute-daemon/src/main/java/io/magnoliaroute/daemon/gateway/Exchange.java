package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.AttemptHistory;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointSelector;
import io.magnoliaroute.core.gateway.LossEvidence;
import io.magnoliaroute.core.gateway.RetryAction;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.retry.Fingerprint;
import io.magnoliaroute.platform.RequestHeaderCodec;
import io.magnoliaroute.platform.ResponseHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Handles one client request from its arrival to its final response, across all attempts. Confined
 * to one event loop.
 */
final class Exchange implements RequestAttempt.Listener {

  /** Size limit of a single event; several hundred times the usual size. */
  private static final int MAX_EVENT_BYTES = 131_072;

  private static final int SERVER_FAILURE = 500;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

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
  static final long RETRY_AFTER_MS = 100;

  /**
   * {@code Retry-After} while no endpoint of the service accepts connections; about the time to the
   * next probe.
   */
  private static final long UNREACHABLE_RETRY_AFTER_MS = 500;

  private final GatewayContext gateway;
  private final ClientRequest request;
  private final ClientResponse response;
  private final AttemptHistory history;
  private final RequestAdmission admission;
  private final Fingerprint fingerprint;
  private final CrashDetector crashDetector;
  private final PauseTolerance pauseTolerance;
  private final StreamBinding stream;
  private final Placement placement;
  private final EndpointWait wait;
  private final EndpointConnector connector;
  private final ExchangeLog log;
  private final String service;
  private final Runnable onFinished;
  private final OpenAttempts attempts = new OpenAttempts();
  private final ResponseBuffer buffer;
  private final EventStreamSplitter eventSplitter = new EventStreamSplitter(MAX_EVENT_BYTES);
  private final long deadlineMs;
  private ResponseHead responseHead;
  private MultiMap responseHeaders;
  private long timer;
  private boolean clientDisconnected;
  private boolean finished;
  private boolean sent;

  Exchange(
      GatewayContext gateway, ClientRequest request, ClientResponse response, Runnable onFinished) {
    this.gateway = gateway;
    this.request = request;
    this.response = response;
    this.onFinished = onFinished;
    this.history = new AttemptHistory(request.route());
    String key = request.metadata().programId().orElse(request.metadata().requestId());
    this.service = request.route().serviceFor(Hashing.fnv1a64(key) >>> 1);
    this.wait = new EndpointWait(request, gateway.clock());
    this.connector = new EndpointConnector(gateway);
    this.log = new ExchangeLog(gateway, request.metadata());
    this.stream = new StreamBinding(gateway, request.metadata(), service);
    this.placement =
        new Placement(gateway, request.metadata(), service, isStream(), stream, history);
    this.fingerprint =
        Fingerprint.ofServiceCall(
            request.uri(), request.method().name(), request.body().toString("ISO-8859-1"));
    this.admission = new RequestAdmission(gateway, request, stream, fingerprint);
    this.crashDetector = new CrashDetector(gateway, fingerprint);
    this.pauseTolerance = new PauseTolerance(gateway, history);
    this.buffer = new ResponseBuffer(gateway.responseMemory());
    this.deadlineMs = request.deadlineMs();
  }

  void start() {
    long leftMs = deadlineMs - now();
    if (leftMs <= 0) {
      refuse(UNAVAILABLE, "deadline passed", 0);
      return;
    }
    timer = gateway.vertx().setTimer(leftMs, fired -> handleTimeout());
    admission.admit().onSuccess(this::dispatchOrRefuse);
  }

  private void dispatchOrRefuse(Optional<RequestAdmission.Refusal> refusal) {
    if (finished) {
      settle();
    } else if (refusal.isPresent()) {
      refuse(refusal.get().status(), refusal.get().reason(), refusal.get().retryAfterMs());
    } else {
      dispatch();
    }
  }

  /**
   * Handles the disconnection of the client. Cancels the current attempt, unless the request must
   * not be retried: such an attempt runs to its end.
   */
  void handleClientDisconnect() {
    if (finished) {
      return;
    }
    clientDisconnected = true;
    if (attempts.current() != null && !isRetryable()) {
      // A non-idempotent request that is already running is not cancelled; its response is
      // discarded.
      return;
    }
    finish("client_left", 0);
  }

  /**
   * Ends the exchange because this process is about to end. A client whose request has not been
   * sent may retry it elsewhere; one whose response has begun learns that it is incomplete.
   */
  void handleShutdown() {
    if (finished) {
      return;
    }
    boolean sent = attempts.current() != null || history.mayHaveRun();
    refuse(sent ? BAD_GATEWAY : UNAVAILABLE, "stopping", sent ? 0 : RETRY_AFTER_MS);
  }

  @Override
  public boolean isRetryable() {
    return request.route().mayRepeat();
  }

  @Override
  public void onResponseHead(RequestAttempt attempt, ResponseHead head, MultiMap headers) {
    if (head.isSuccess() && !head.isSigned()) {
      attempt.fail(AttemptFailure.BROKEN, "success response without signature");
      return;
    }
    attempts.select(attempt);
    if (response.isStarted()) {
      if (!head.isSuccess() || !head.isEventStream()) {
        attempt.cancel();
        finish("resume_refused", head.status());
      }
      return;
    }
    responseHead = head;
    responseHeaders = headers;
    if (isStream() && head.isSuccess() && head.isEventStream()) {
      response.start(head, headers);
    }
  }

  @Override
  public void onBody(RequestAttempt attempt, Buffer bytes) {
    if (!response.isStarted()) {
      if (!buffer.append(bytes)) {
        attempt.fail(AttemptFailure.BROKEN, "response body exceeds the buffer limit");
      }
      return;
    }
    try {
      forwardEvents(attempt, eventSplitter.split(bytes));
      if (!buffer.tryResize(eventSplitter.partialBytes())) {
        attempt.fail(AttemptFailure.BROKEN, "incomplete event exceeds the buffer limit");
      }
    } catch (EventStreamSplitter.OversizedEventException e) {
      attempt.fail(AttemptFailure.BROKEN, e.getMessage());
    }
  }

  private void forwardEvents(RequestAttempt attempt, Buffer completeEvents) {
    if (completeEvents.length() == 0) {
      return;
    }
    stream.bindTo(attempt.endpoint());
    attempt.recordProgress(eventSplitter.eventCount());
    if (!response.write(completeEvents)) {
      attempt.pause();
      response.onWritable(attempt::resume);
    }
  }

  @Override
  public void onSilent(RequestAttempt attempt) {
    if (history.hasAttemptsLeft() && attempts.beginRepeat()) {
      log.logRepeated(attempt);
      history.recordRepeat();
      reconnect(attempt.endpoint());
    }
  }

  @Override
  public void onCompleted(RequestAttempt attempt) {
    if (response.isStarted() && eventSplitter.hasPartialEvent()) {
      onFailed(attempt, AttemptFailure.BROKEN, "stream ended inside an event");
      return;
    }
    attempts.remove(attempt);
    gateway
        .loads()
        .recordOutcome(attempt.endpoint().id(), responseHead.status() < SERVER_FAILURE, now());
    gateway.crashQuarantine().recordCompletion(fingerprint);
    gateway.serviceTimes().recordDuration(service, now() - attempt.sentAtMs());
    gateway.prefixCache().recordProcessed(request.metadata().prefix(), attempt.endpoint());
    if (!response.isStarted()) {
      response.writeComplete(responseHead, responseHeaders, buffer.body());
    } else {
      response.end();
    }
    finish("answered", responseHead.status());
  }

  @Override
  public void onFailed(RequestAttempt attempt, AttemptFailure failure, String cause) {
    EndpointEntry endpoint = attempt.endpoint();
    if (failure == AttemptFailure.REFUSED_GONE || failure.isFinal()) {
      attempts.cancel();
    }
    boolean othersOpen = attempts.remove(attempt);
    boolean brokeAgain =
        failure == AttemptFailure.BROKEN && isRetryable() && crashDetector.hasBroken(endpoint);
    gateway.metrics().countFailedAttempt(failure.name());
    if (failure.mayHaveRun()) {
      log.logBroken(attempt, cause);
    }
    if (failure == AttemptFailure.REFUSED_FULL) {
      gateway.loads().markFull(endpoint.id(), now() + PLACEMENT_RETRY_MS);
    }
    if (failure == AttemptFailure.REFUSED_GONE) {
      gateway.routingState().endpoints().removeDisplaced(endpoint);
    }
    // A lost path says nothing about the health of the endpoint.
    if (failure.mayHaveRun() && failure != AttemptFailure.PATH_LOST) {
      crashDetector.recordBroken(endpoint);
      gateway.loads().recordOutcome(endpoint.id(), false, now());
    }
    if (othersOpen) {
      return;
    }
    if (failure == AttemptFailure.UNREACHABLE) {
      crashDetector.reportCrash(endpoint);
    }
    boolean brokeWithoutRetry = failure == AttemptFailure.BROKEN && !isRetryable();
    if (brokeWithoutRetry || failure.isFinal()) {
      crashDetector.checkWithoutRetry(endpoint);
    }
    eventSplitter.prepareResume();
    buffer.clear();
    if (brokeAgain) {
      gateway.vertx().setTimer(RECONNECT_DELAY_MS, fired -> checkForCrash(endpoint, cause));
    } else {
      proceedAfterFailure(endpoint, failure, cause);
    }
  }

  // A process that takes long to crash still accepts the reconnect and breaks it as well.
  private void checkForCrash(EndpointEntry endpoint, String cause) {
    if (finished) {
      return;
    }
    crashDetector
        .hasCrashed(endpoint)
        .onSuccess(
            crashed -> {
              if (crashed) {
                awaitOrProceed(endpoint, AttemptFailure.UNREACHABLE, cause);
              } else {
                proceedAfterFailure(endpoint, AttemptFailure.BROKEN, cause);
              }
            });
  }

  // Whether an endpoint has ended may be known only after some time.
  private void awaitOrProceed(EndpointEntry endpoint, AttemptFailure failure, String cause) {
    if (pauseTolerance.awaits(endpoint)) {
      gateway.vertx().setTimer(PauseTolerance.RETRY_MS, fired -> reconnect(endpoint));
    } else {
      proceedAfterFailure(endpoint, failure, cause);
    }
  }

  private void proceedAfterFailure(EndpointEntry endpoint, AttemptFailure failure, String cause) {
    if (attempts.abandonRepeat()) {
      return;
    }
    LossEvidence evidence = gateway.reachability().evidence(endpoint, failure);
    RetryAction action = history.recordFailure(failure, evidence);
    log.logFailed(endpoint, failure, evidence, cause, history.attempts(), action);
    if (finished) {
      return;
    }
    if (clientDisconnected) {
      finish("client_left", 0);
      return;
    }
    switch (action) {
      case SAME_ENDPOINT ->
          gateway.vertx().setTimer(RECONNECT_DELAY_MS, fired -> reconnect(endpoint));
      case OTHER_ENDPOINT -> dispatch();
      case ANSWER_NOT_RUN -> refuse(UNAVAILABLE, "no endpoint took the request", RETRY_AFTER_MS);
      default -> refuse(BAD_GATEWAY, "the request may have run", 0);
    }
  }

  private void dispatch() {
    if (finished) {
      return;
    }
    Optional<EndpointSelector.Selection> selected = placement.select();
    if (selected.isPresent()) {
      dispatchTo(selected.get());
      return;
    }
    history.avoidedEndpoints().clear();
    if (wait.remainingMs() <= 0 || !stream.hasEndpoint()) {
      refuseWithoutEndpoint(RETRY_AFTER_MS);
      return;
    }
    gateway.vertx().setTimer(PLACEMENT_RETRY_MS, fired -> dispatch());
  }

  private void dispatchTo(EndpointSelector.Selection selection) {
    EndpointEntry endpoint = selection.endpoint();
    if (gateway.loads().isUnreachable(endpoint.id())) {
      dispatchIfReachable();
    } else if (selection.permitDelayMs() > wait.maxPermitDelayMs()) {
      refuseWithoutEndpoint(Math.max(RETRY_AFTER_MS, selection.permitDelayMs()));
    } else {
      long maxDelayMs = Math.min(selection.maxPermitDelayMs(), wait.maxPermitDelayMs());
      connectWithPermit(endpoint, false, maxDelayMs);
    }
  }

  private void connectWithPermit(EndpointEntry endpoint, boolean newConnection, long maxDelayMs) {
    if (!sent && admission.isPermitOutdated()) {
      admission.renewPermit().onSuccess(this::dispatchOrRefuse);
      return;
    }
    gateway
        .requestPermits()
        .acquire(endpoint, maxDelayMs)
        .onSuccess(
            permit -> {
              if (isSettled()) {
                return;
              }
              if (!permit.granted()) {
                handlePermitDenied(endpoint, newConnection, maxDelayMs, permit.delayMs());
              } else if (permit.delayMs() > 0) {
                gateway
                    .vertx()
                    .setTimer(permit.delayMs(), fired -> connect(endpoint, newConnection));
              } else {
                connect(endpoint, newConnection);
              }
            });
  }

  private void handlePermitDenied(
      EndpointEntry endpoint, boolean newConnection, long maxDelayMs, long delayMs) {
    log.logPermitDenied(endpoint, delayMs, maxDelayMs);
    if (newConnection) {
      proceedAfterFailure(
          endpoint, AttemptFailure.RATE_LIMITED, "no permit for " + delayMs + " ms");
    } else {
      dispatch();
    }
  }

  // Probes all endpoints in parallel: connection attempts to unreachable endpoints one after the
  // other would only delay the client's response.
  private void dispatchIfReachable() {
    placement
        .anyReachable()
        .onSuccess(
            reachable -> {
              if (reachable) {
                history.avoidedEndpoints().clear();
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

  // The earlier attempt may have received its response head while the request was being repeated.
  private boolean isSettled() {
    return finished || attempts.current() != null;
  }

  private void reconnect(EndpointEntry endpoint) {
    if (isSettled()) {
      return;
    }
    if (isEligible(endpoint)) {
      connectWithPermit(endpoint, true, wait.maxPermitDelayMs());
    } else {
      proceedAfterFailure(endpoint, AttemptFailure.LEAVING, "endpoint has left the service");
    }
  }

  private boolean isEligible(EndpointEntry endpoint) {
    return gateway.routingState().endpoints().maySendTo(endpoint, now());
  }

  private void connect(EndpointEntry endpoint, boolean newConnection) {
    if (isSettled()) {
      return;
    }
    history.beginAttempt(endpoint.id());
    // An endpoint that has refused this request may send the refusal twice. With a new connection,
    // the late copy cannot be read as the response to this attempt.
    boolean openNew = newConnection || history.wasRefusedBy(endpoint.id());
    (openNew
            ? connector.open(endpoint)
            : connector.connect(endpoint, request.metadata().requestId()))
        .onSuccess(
            connection -> {
              if (isSettled()) {
                gateway.connections().release(connection, Optional.empty());
              } else {
                startAttempt(connection);
              }
            })
        .onFailure(e -> handleConnectFailure(endpoint, e));
  }

  private void handleConnectFailure(EndpointEntry endpoint, Throwable cause) {
    boolean limitReached = cause instanceof EndpointConnectionPool.ConnectionLimitReachedException;
    if (!limitReached) {
      crashDetector.onReconnectFailed(endpoint);
    }
    gateway.metrics().countFailedAttempt(limitReached ? "NO_CONNECTION_LEFT" : "NOT_CONNECTED");
    String message = String.valueOf(cause.getMessage());
    if (limitReached) {
      proceedAfterFailure(endpoint, AttemptFailure.REFUSED_FULL, message);
    } else {
      awaitOrProceed(endpoint, AttemptFailure.NOT_CONNECTED, message);
    }
  }

  private void startAttempt(EndpointConnection connection) {
    // The endpoint may have announced its departure while the connection was being opened.
    if (!isEligible(connection.endpoint())) {
      gateway.connections().close(connection);
      proceedAfterFailure(
          connection.endpoint(), AttemptFailure.LEAVING, "endpoint has left the service");
      return;
    }
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    long leftMs = Math.max(1, deadlineMs - now());
    RequestHeaderCodec.encode(
        request.headers(),
        headers,
        connection.endpoint(),
        leftMs,
        eventSplitter.lastId(),
        request.identity());
    log.logSent(connection, history.attempts(), leftMs, eventSplitter.lastId());
    log.recordMove(connection.endpoint(), history);
    RequestAttempt attempt =
        new RequestAttempt(gateway, connection, this, request.metadata().requestId());
    attempts.add(attempt);
    sent = true;
    attempt.start(
        new RequestAttempt.OutboundRequest(
            request.method(),
            request.uri(),
            headers,
            request.body(),
            request.metadata().requestId()));
  }

  private void handleTimeout() {
    if (finished) {
      return;
    }
    RequestAttempt attempt = attempts.current();
    boolean sent = attempt != null || history.mayHaveRun();
    // A stream may last longer than its request; a plain response that has begun may not.
    boolean mayBeSlow = isStream() && attempt != null && attempt.hasResponseStarted();
    if (attempt != null && !mayBeSlow && !attempt.isPathLost()) {
      gateway.loads().recordOutcome(attempt.endpoint().id(), false, now());
    }
    if (response.isStarted()) {
      finish("timeout", 0);
      return;
    }
    refuse(sent ? GATEWAY_TIMEOUT : UNAVAILABLE, "timeout", sent ? 0 : RETRY_AFTER_MS);
  }

  private void refuse(int status, String reason, long retryAfterMs) {
    if (finished) {
      return;
    }
    gateway.metrics().countRefused(reason);
    if (!response.isStarted()) {
      response.writeOwn(status, reason, retryAfterMs);
    }
    finish(reason, status);
  }

  private void finish(String outcome, int status) {
    if (finished) {
      return;
    }
    finished = true;
    gateway.vertx().cancelTimer(timer);
    attempts.cancel();
    response.abort();
    buffer.clear();
    settle();
    gateway.metrics().countAnswered(status);
    gateway.metrics().recordDuration(request.route().name(), now() - request.arrivedMs());
    int events = eventSplitter.eventCount();
    log.logEnded(request, outcome, status, events, history.attempts());
    onFinished.run();
  }

  private void settle() {
    admission.settle(service, eventSplitter.eventCount(), sent);
  }

  @Override
  public boolean isStream() {
    return request.route().kind().isStream();
  }

  private long now() {
    return gateway.clock().millis();
  }
}
