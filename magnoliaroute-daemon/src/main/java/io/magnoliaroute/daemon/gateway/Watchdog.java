package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EngineReport;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.PlatformFormatException;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import java.net.ConnectException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects endpoints and connections from which no bytes arrive any more. An endpoint that is silent
 * on all of its connections is probed with a new connection: a slow endpoint still accepts it, an
 * unreachable one does not. Confined to one event loop.
 */
final class Watchdog {

  /** Interval between two checks of the open attempts. */
  static final long CHECK_INTERVAL_MS = 100;

  /**
   * Time without received bytes after which an endpoint is probed; a few times the usual interval
   * between events.
   */
  static final long SILENCE_THRESHOLD_MS = 250;

  /**
   * Time without received bytes after which a connection to an endpoint that responds on others
   * counts as dead.
   */
  static final long DEAD_CONNECTION_THRESHOLD_MS = 1_300;

  /**
   * Time for which an endpoint has to respond on other connections before one counts as dead. An
   * endpoint that goes on after a pause needs some time to respond to all requests.
   */
  private static final long MIN_RESPONDING_MS = 1_000;

  /** Age that an engine's report may have when it arrives. */
  private static final long MAX_REPORT_AGE_MS = 500;

  /** Longest time between two responses of an endpoint that has responded all the while. */
  private static final long MAX_RESPONSE_GAP_MS = 500;

  /**
   * Time without received bytes after which a request no longer waits for an endpoint that accepts
   * no connections either; a sound endpoint may pause for a second.
   */
  static final long MAX_PAUSE_MS = 1_500;

  /**
   * Time after which a stream counts as stalled if the endpoint sends bytes but does not complete
   * an event. A healthy endpoint that is slow sends nothing between its events.
   */
  static final long STALL_THRESHOLD_MS = 1_300;

  /**
   * Delay of a check beyond which the check is skipped: if this process itself was paused, missing
   * bytes do not indicate a fault of an endpoint.
   */
  private static final long MAX_CHECK_DELAY_MS = 250;

  private final InstantSource clock;
  private final DecisionLog log;
  private final Set<RequestAttempt> openAttempts = new LinkedHashSet<>();
  private final Map<EndpointId, Long> lastReceivedAtMs = new HashMap<>();
  private final Map<EndpointId, Long> respondingSinceMs = new HashMap<>();
  private final Map<EndpointId, Long> lastAcceptedAtMs = new HashMap<>();
  private final Set<EndpointId> probing = new LinkedHashSet<>();
  private final Set<EndpointId> checkingHealth = new LinkedHashSet<>();
  private final Set<RequestAttempt> awaitingReport = new LinkedHashSet<>();
  private final Map<RequestAttempt, Long> contradictedSinceMs = new HashMap<>();
  private Prober prober;
  private long lastCheckAtMs;

  /** Probes endpoints. */
  interface Prober {

    /** Opens a connection and returns whether the endpoint accepted it. */
    Future<Boolean> probe(EndpointEntry endpoint);

    /** Sends a health check and returns whether the endpoint responded in time. */
    Future<Boolean> responds(EndpointEntry endpoint);

    /** Returns whether no path reaches the endpoint. */
    boolean isUnreachable(EndpointEntry endpoint);

    /** Returns whether an unreachable endpoint may be sound and go on with its requests. */
    boolean mayBeSound(EndpointEntry endpoint);

    /**
     * Fetches a model engine's report of its running requests; empty if the engine's request limit
     * does not allow it at present.
     */
    Future<Optional<EngineReport>> fetchReport(EndpointEntry endpoint);
  }

  Watchdog(InstantSource clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
    this.lastCheckAtMs = clock.millis();
  }

  void setProber(Prober newProber) {
    prober = newProber;
  }

  void add(RequestAttempt attempt) {
    openAttempts.add(attempt);
  }

  void remove(RequestAttempt attempt) {
    openAttempts.remove(attempt);
    contradictedSinceMs.remove(attempt);
  }

  void recordReceipt(EndpointId endpoint, long nowMs) {
    Long previousMs = lastReceivedAtMs.put(endpoint, nowMs);
    if (previousMs == null || nowMs - previousMs > MAX_RESPONSE_GAP_MS) {
      respondingSinceMs.put(endpoint, nowMs);
    }
  }

  int openCount() {
    return openAttempts.size();
  }

  /** Checks all open attempts once. */
  void check() {
    long nowMs = clock.millis();
    boolean paused = nowMs - lastCheckAtMs > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS;
    lastCheckAtMs = nowMs;
    if (paused) {
      return;
    }
    for (RequestAttempt attempt : List.copyOf(openAttempts)) {
      if (nowMs - attempt.lastReceivedAtMs() >= SILENCE_THRESHOLD_MS) {
        handleSilence(attempt, nowMs);
      }
      if (attempt.isStream()
          && attempt.lastReceivedAtMs() > attempt.lastProgressAtMs()
          && nowMs - attempt.lastProgressAtMs() >= STALL_THRESHOLD_MS) {
        failStalled(attempt, nowMs);
      }
    }
  }

  private void failStalled(RequestAttempt attempt, long nowMs) {
    log.line("stream_stalled")
        .put("endpoint", attempt.endpoint().id().value())
        .put("silent_ms", nowMs - attempt.lastProgressAtMs())
        .write();
    attempt.fail(AttemptFailure.BROKEN, "stream stalled: bytes received, but no complete event");
  }

  private void handleSilence(RequestAttempt attempt, long nowMs) {
    EndpointId id = attempt.endpoint().id();
    if (prober.isUnreachable(attempt.endpoint()) && failIfLost(attempt, nowMs)) {
      return;
    }
    long lastAcceptedMs = lastAcceptedAtMs.getOrDefault(id, Long.MIN_VALUE / 2);
    if (nowMs - lastAcceptedMs >= SILENCE_THRESHOLD_MS
        && nowMs - lastReceivedAtMs.getOrDefault(id, attempt.sentAtMs()) >= SILENCE_THRESHOLD_MS) {
      probe(attempt.endpoint());
    }
    boolean reachable =
        Math.max(lastAcceptedMs, lastReceivedAtMs.getOrDefault(id, 0L))
            > attempt.lastReceivedAtMs();
    boolean mayBeDead =
        (attempt.isStream() || attempt.isPathLost())
            ? reachable
            : respondsOnOtherConnections(attempt, nowMs);
    long thresholdMs = attempt.isPathLost() ? SILENCE_THRESHOLD_MS : DEAD_CONNECTION_THRESHOLD_MS;
    boolean overdue = nowMs - attempt.lastActiveAtMs() >= thresholdMs;
    if (!mayBeDead || !attempt.isRetryable() || !overdue) {
      return;
    }
    if (attempt.isStream()) {
      checkEngineReport(attempt);
    } else if (attempt.hasResponseStarted()) {
      failSilent(attempt, "no bytes received on the connection");
    } else {
      attempt.reportSilence();
    }
  }

  private boolean respondsOnOtherConnections(RequestAttempt attempt, long nowMs) {
    EndpointId id = attempt.endpoint().id();
    long respondedAtMs = lastReceivedAtMs.getOrDefault(id, 0L);
    return respondedAtMs > attempt.lastReceivedAtMs()
        && nowMs - respondedAtMs <= MAX_RESPONSE_GAP_MS
        && nowMs - respondingSinceMs.get(id) >= MIN_RESPONDING_MS;
  }

  private void failSilent(RequestAttempt attempt, String cause) {
    log.line("connection_silent")
        .put("endpoint", attempt.endpoint().id().value())
        .put("silent_ms", clock.millis() - attempt.lastReceivedAtMs())
        .put("cause", cause)
        .write();
    attempt.fail(attempt.isPathLost() ? AttemptFailure.PATH_LOST : AttemptFailure.BROKEN, cause);
  }

  // A stream that waits for a slot, or whose engine is slow, receives as little as a stream on a
  // dead connection. Only the engine's report tells the two apart.
  private void checkEngineReport(RequestAttempt attempt) {
    if (!awaitingReport.add(attempt)) {
      return;
    }
    long requestedAtMs = clock.millis();
    long receivedBeforeMs = attempt.lastReceivedAtMs();
    log.line("report_requested").put("endpoint", attempt.endpoint().id().value()).write();
    prober
        .fetchReport(attempt.endpoint())
        .onComplete(
            done -> {
              awaitingReport.remove(attempt);
              if (!openAttempts.contains(attempt)
                  || attempt.lastReceivedAtMs() != receivedBeforeMs) {
                return;
              }
              if (done.failed()) {
                handleReportFailure(attempt, done.cause());
              } else if (done.result()
                  .map(each -> each.mayBeHealthy(attempt.requestId(), attempt.eventsReceived()))
                  .orElse(true)) {
                attempt.confirmActive();
                contradictedSinceMs.remove(attempt);
              } else if (isContradictionFinal(attempt, requestedAtMs)) {
                failSilent(attempt, "request is unknown to the engine or its events were lost");
              }
            });
  }

  // After a pause, a report may be older than the request, or arrive before the events that it
  // counts.
  private boolean isContradictionFinal(RequestAttempt attempt, long requestedAtMs) {
    long nowMs = clock.millis();
    long sinceMs = contradictedSinceMs.computeIfAbsent(attempt, first -> nowMs);
    boolean isCurrent =
        nowMs - requestedAtMs < SILENCE_THRESHOLD_MS && respondsOnOtherConnections(attempt, nowMs);
    return isCurrent || nowMs - sinceMs >= MAX_REPORT_AGE_MS;
  }

  // Only a malformed report or a refused connection says something about the engine. One that does
  // not respond may be paused, and a connection may be reset because there are too many.
  private void handleReportFailure(RequestAttempt attempt, Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    if (refused || cause instanceof PlatformFormatException) {
      failSilent(attempt, "engine report failed: " + cause.getMessage());
    }
  }

  private void probe(EndpointEntry endpoint) {
    if (!probing.add(endpoint.id())) {
      return;
    }
    prober
        .probe(endpoint)
        .onComplete(
            done -> {
              probing.remove(endpoint.id());
              if (done.succeeded() && done.result()) {
                lastAcceptedAtMs.put(endpoint.id(), clock.millis());
                checkHealthIfNeeded(endpoint);
              } else {
                handleUnreachable(endpoint);
              }
            });
  }

  // Streams need no health check, because the engine's report decides about them.
  private void checkHealthIfNeeded(EndpointEntry endpoint) {
    boolean needed =
        silentAttempts(endpoint).stream().anyMatch(each -> each.isRetryable() && !each.isStream());
    if (!needed || !checkingHealth.add(endpoint.id())) {
      return;
    }
    prober
        .responds(endpoint)
        .onComplete(
            done -> {
              checkingHealth.remove(endpoint.id());
              if (done.succeeded() && done.result()) {
                recordReceipt(endpoint.id(), clock.millis());
              }
            });
  }

  private List<RequestAttempt> silentAttempts(EndpointEntry endpoint) {
    List<RequestAttempt> silentAttempts = new ArrayList<>();
    for (RequestAttempt attempt : openAttempts) {
      if (attempt.endpoint().id().equals(endpoint.id())
          && clock.millis() - attempt.lastReceivedAtMs() >= SILENCE_THRESHOLD_MS) {
        silentAttempts.add(attempt);
      }
    }
    return silentAttempts;
  }

  private void handleUnreachable(EndpointEntry endpoint) {
    List<RequestAttempt> silentAttempts = silentAttempts(endpoint);
    log.line("endpoint_unreachable")
        .put("endpoint", endpoint.id().value())
        .put("requests", silentAttempts.size())
        .write();
    silentAttempts.forEach(attempt -> failIfLost(attempt, clock.millis()));
  }

  // A sound endpoint goes on with its requests by itself, beside the endpoint of a retry.
  private boolean failIfLost(RequestAttempt attempt, long nowMs) {
    EndpointEntry endpoint = attempt.endpoint();
    long lastHeardAtMs =
        Math.max(attempt.lastReceivedAtMs(), lastReceivedAtMs.getOrDefault(endpoint.id(), 0L));
    boolean awaitsEndpoint = nowMs - lastHeardAtMs < MAX_PAUSE_MS && prober.mayBeSound(endpoint);
    if (!attempt.isRetryable() || awaitsEndpoint) {
      return false;
    }
    attempt.fail(AttemptFailure.UNREACHABLE, "endpoint sends no bytes and accepts no connection");
    return true;
  }
}
