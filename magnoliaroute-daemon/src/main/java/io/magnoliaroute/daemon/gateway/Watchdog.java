package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EngineReport;
import io.magnoliaroute.core.gateway.SendResult;
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

  void add(Send send) {
    sends.add(send);
  }

  void remove(Send send) {
    sends.remove(send);
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
    for (Send send : List.copyOf(sends)) {
      if (nowMs - send.heardAtMs() >= SILENCE_MS) {
        silent(send, nowMs);
      }
      if (send.isStream()
          && send.heardAtMs() > send.progressedAtMs()
          && nowMs - send.progressedAtMs() >= STALLED_MS) {
        stalled(send, nowMs);
      }
    }
  }

  private void stalled(Send send, long nowMs) {
    log.line("stream_stalled")
        .put("endpoint", send.endpoint().id().value())
        .put("silent_ms", nowMs - send.progressedAtMs())
        .write();
    send.fail(SendResult.BROKEN, "stream stalled: bytes received, but no complete event");
  }

  private void silent(Send send, long nowMs) {
    EndpointId id = send.endpoint().id();
    long lastAcceptedMs = acceptedAtMs.getOrDefault(id, Long.MIN_VALUE / 2);
    if (nowMs - lastAcceptedMs >= SILENCE_MS
        && nowMs - heardAtMs.getOrDefault(id, send.sentAtMs()) >= SILENCE_MS) {
      ask(send.endpoint());
    }
    boolean reachable = Math.max(lastAcceptedMs, heardAtMs.getOrDefault(id, 0L)) > send.heardAtMs();
    boolean overdue = nowMs - send.aliveAtMs() >= DEAD_CONNECTION_MS;
    if (!reachable || !send.mayRepeat() || !overdue) {
      return;
    }
    if (send.isStream()) {
      askForReport(send);
    } else {
      giveUp(send, "no bytes received on the connection");
    }
  }

  private void giveUp(Send send, String cause) {
    log.line("connection_silent")
        .put("endpoint", send.endpoint().id().value())
        .put("silent_ms", clock.millis() - send.heardAtMs())
        .put("cause", cause)
        .write();
    send.fail(SendResult.BROKEN, cause);
  }

  // A stream that waits for a slot, or whose engine is slow, receives as little as a stream on a
  // dead connection. Only the engine's report tells the two apart.
  private void askForReport(Send send) {
    if (!inquired.add(send)) {
      return;
    }
    long receivedBeforeMs = send.heardAtMs();
    prober
        .report(send.endpoint())
        .onComplete(
            done -> {
              inquired.remove(send);
              if (!sends.contains(send) || send.heardAtMs() != receivedBeforeMs) {
                return;
              }
              if (done.failed()) {
                giveUp(send, "engine report failed: " + done.cause().getMessage());
              } else if (done.result().mayGoOn(send.requestId(), send.eventsReceived())) {
                send.seenAlive();
              } else {
                giveUp(send, "request is unknown to the engine or its events were lost");
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
    List<Send> silentSends = new ArrayList<>();
    for (Send send : sends) {
      if (send.endpoint().id().equals(endpoint.id())
          && clock.millis() - send.heardAtMs() >= SILENCE_MS) {
        silentSends.add(send);
      }
    }
    log.line("endpoint_unreachable")
        .put("endpoint", endpoint.id().value())
        .put("requests", silentSends.size())
        .write();
    for (Send send : silentSends) {
      if (send.mayRepeat()) {
        send.fail(SendResult.UNREACHABLE, "endpoint sends no bytes and accepts no connection");
      }
    }
  }
}
