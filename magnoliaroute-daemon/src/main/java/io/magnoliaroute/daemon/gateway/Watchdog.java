package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EngineReport;
import io.magnoliaroute.core.model.EndpointId;
import io.vertx.core.Future;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects endpoints and connections from which no bytes arrive any more. An endpoint that is silent
 * on all of its connections is probed with a new connection: a slow endpoint still accepts it, an
 * unreachable one does not. Confined to one event loop.
 */
final class Watchdog {

  /** Interval between two checks of the open attempts. */
  static final long CHECK_MS = 100;

  /**
   * Time without received bytes after which an endpoint is probed; a few times the usual interval
   * between events.
   */
  static final long SILENCE_MS = 250;

  /**
   * Time without received bytes after which a connection to an endpoint that is otherwise reachable
   * counts as dead.
   */
  static final long DEAD_CONNECTION_MS = 1_300;

  /**
   * Time after which a stream counts as stalled if the endpoint sends bytes but does not complete
   * an event. A healthy endpoint that is slow sends nothing between its events.
   */
  static final long STALLED_MS = 1_300;

  /**
   * Delay of a check beyond which the check is skipped: if this process itself was paused, missing
   * bytes do not indicate a fault of an endpoint.
   */
  private static final long MAX_CHECK_DELAY_MS = 250;

  private final InstantSource clock;
  private final DecisionLog log;
  private final Set<Send> sends = new LinkedHashSet<>();
  private final Map<EndpointId, Long> heardAtMs = new HashMap<>();
  private final Map<EndpointId, Long> acceptedAtMs = new HashMap<>();
  private final Set<EndpointId> asking = new LinkedHashSet<>();
  private final Set<Send> inquired = new LinkedHashSet<>();
  private Prober prober;
  private long checkedAtMs;

  /** Probes endpoints. */
  interface Prober {

    /** Opens a connection and returns whether the endpoint accepted it. */
    Future<Boolean> probe(EndpointEntry endpoint);

    /** Fetches the status report of a model engine. */
    Future<EngineReport> report(EndpointEntry endpoint);
  }

  Watchdog(InstantSource clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
    this.checkedAtMs = clock.millis();
  }

  void probeWith(Prober newProber) {
    prober = newProber;
  }

  void add(Send attempt) {
    sends.add(attempt);
  }

  void remove(Send attempt) {
    sends.remove(attempt);
  }

  void heard(EndpointId endpoint, long nowMs) {
    heardAtMs.put(endpoint, nowMs);
  }

  int open() {
    return sends.size();
  }

  /** Checks all open attempts once. */
  void check() {
    long nowMs = clock.millis();
    boolean paused = nowMs - checkedAtMs > CHECK_MS + MAX_CHECK_DELAY_MS;
    checkedAtMs = nowMs;
    if (paused) {
      return;
    }
    for (Send attempt : List.copyOf(sends)) {
      if (nowMs - attempt.heardAtMs() >= SILENCE_MS) {
        silent(attempt, nowMs);
      }
      if (attempt.isStream()
          && attempt.heardAtMs() > attempt.progressedAtMs()
          && nowMs - attempt.progressedAtMs() >= STALLED_MS) {
        stalled(attempt, nowMs);
      }
    }
  }

  private void stalled(Send attempt, long nowMs) {
    log.line("stream_stalled")
        .put("endpoint", attempt.endpoint().id().value())
        .put("silent_ms", nowMs - attempt.progressedAtMs())
        .write();
    attempt.fail(AttemptFailure.BROKEN, "stream stalled: bytes received, but no complete event");
  }

  private void silent(Send attempt, long nowMs) {
    EndpointId id = attempt.endpoint().id();
    long lastAcceptedMs = acceptedAtMs.getOrDefault(id, Long.MIN_VALUE / 2);
    if (nowMs - lastAcceptedMs >= SILENCE_MS
        && nowMs - heardAtMs.getOrDefault(id, attempt.sentAtMs()) >= SILENCE_MS) {
      ask(attempt.endpoint());
    }
    boolean reachable =
        Math.max(lastAcceptedMs, heardAtMs.getOrDefault(id, 0L)) > attempt.heardAtMs();
    boolean overdue = nowMs - attempt.aliveAtMs() >= DEAD_CONNECTION_MS;
    if (!reachable || !attempt.mayRepeat() || !overdue) {
      return;
    }
    if (attempt.isStream()) {
      askForReport(attempt);
    } else {
      giveUp(attempt, "no bytes received on the connection");
    }
  }

  private void giveUp(Send attempt, String cause) {
    log.line("connection_silent")
        .put("endpoint", attempt.endpoint().id().value())
        .put("silent_ms", clock.millis() - attempt.heardAtMs())
        .put("cause", cause)
        .write();
    attempt.fail(AttemptFailure.BROKEN, cause);
  }

  // A stream that waits for a slot, or whose engine is slow, receives as little as a stream on a
  // dead connection. Only the engine's report tells the two apart.
  private void askForReport(Send attempt) {
    if (!inquired.add(attempt)) {
      return;
    }
    long receivedBeforeMs = attempt.heardAtMs();
    prober
        .report(attempt.endpoint())
        .onComplete(
            done -> {
              inquired.remove(attempt);
              if (!sends.contains(attempt) || attempt.heardAtMs() != receivedBeforeMs) {
                return;
              }
              if (done.failed()) {
                giveUp(attempt, "engine report failed: " + done.cause().getMessage());
              } else if (done.result()
                  .mayBeHealthy(attempt.requestId(), attempt.eventsReceived())) {
                attempt.seenAlive();
              } else {
                giveUp(attempt, "request is unknown to the engine or its events were lost");
              }
            });
  }

  private void ask(EndpointEntry endpoint) {
    if (!asking.add(endpoint.id())) {
      return;
    }
    prober
        .probe(endpoint)
        .onComplete(
            done -> {
              asking.remove(endpoint.id());
              if (done.succeeded() && done.result()) {
                acceptedAtMs.put(endpoint.id(), clock.millis());
              } else {
                lost(endpoint);
              }
            });
  }

  private void lost(EndpointEntry endpoint) {
    List<Send> silentAttempts = new ArrayList<>();
    for (Send attempt : sends) {
      if (attempt.endpoint().id().equals(endpoint.id())
          && clock.millis() - attempt.heardAtMs() >= SILENCE_MS) {
        silentAttempts.add(attempt);
      }
    }
    log.line("endpoint_unreachable")
        .put("endpoint", endpoint.id().value())
        .put("requests", silentAttempts.size())
        .write();
    for (Send attempt : silentAttempts) {
      if (attempt.mayRepeat()) {
        attempt.fail(
            AttemptFailure.UNREACHABLE, "endpoint sends no bytes and accepts no connection");
      }
    }
  }
}
