package io.magnoliaroute.daemon.gateway;

import java.time.InstantSource;

/** Tracks whether the platform's store responds, and how fast. Used on one event loop. */
final class StoreHealth {

  /** Failures that last longer than this are an outage; shorter ones are single lost responses. */
  private static final long OUTAGE_AFTER_MS = 400;

  /** A call that takes this long indicates a slow store; a response usually takes a few ms. */
  private static final long SLOW_MS = 100;

  /**
   * Failures that last longer than this are more than one lost response, so that turns no longer
   * wait for the store.
   */
  private static final long IMPAIRED_AFTER_MS = 100;

  /**
   * How long the store counts as slow after a slow call. While records are pending, they are
   * retried at shorter intervals, and the duration of each retry replaces this result.
   */
  private static final long SLOW_RETENTION_MS = 1_000;

  /**
   * How long after an outage removed entries count as expired by it. Running endpoints register
   * again within about 2 s; the rest is the delay until this VM reads their entries.
   */
  static final long REREGISTRATION_GRACE_MS = 2_600;

  private final InstantSource clock;
  private final DecisionLog log;
  private long lastSuccessMs;
  private long firstSuccessMs = Long.MAX_VALUE;
  private boolean startedInOutage;
  private long failingSinceMs = Long.MAX_VALUE;
  private long outageEndedMs = Long.MIN_VALUE / 2;
  private boolean outageConfirmed;
  private boolean outageLogged;
  private long lastSlowCallMs = Long.MIN_VALUE / 2;

  StoreHealth(InstantSource clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
    this.lastSuccessMs = clock.millis();
  }

  long nowMs() {
    return clock.millis();
  }

  void recordSuccess() {
    long nowMs = clock.millis();
    if (isUnavailable() && outageConfirmed) {
      outageEndedMs = nowMs;
    }
    outageConfirmed = false;
    firstSuccessMs = Math.min(firstSuccessMs, nowMs);
    if (outageLogged) {
      outageLogged = false;
      log.line("dependency_regained")
          .put("dependency", "store")
          .put("away_ms", nowMs - lastSuccessMs)
          .write();
    }
    failingSinceMs = Long.MAX_VALUE;
    lastSuccessMs = nowMs;
  }

  /**
   * Records a failed call.
   *
   * @param startedMs when the call started; if another call has succeeded since, the failure does
   *     not show that the store was unavailable
   */
  void recordFailure(Throwable cause, long startedMs) {
    outageConfirmed |= startedMs >= lastSuccessMs;
    startedInOutage |= firstSuccessMs == Long.MAX_VALUE;
    failingSinceMs = Math.min(failingSinceMs, clock.millis());
    if (isUnavailable() && !outageLogged) {
      outageLogged = true;
      log.line("dependency_lost")
          .put("dependency", "store")
          .put("silent_ms", clock.millis() - lastSuccessMs)
          .put("cause", String.valueOf(cause.getMessage()))
          .write();
    }
  }

  /** Returns the time since the first successful call; negative if there was none. */
  long reachedForMs() {
    return firstSuccessMs == Long.MAX_VALUE ? -1 : clock.millis() - firstSuccessMs;
  }

  /** Returns whether a call failed before the first one succeeded. */
  boolean startedInOutage() {
    return startedInOutage;
  }

  /** Records the duration of a call that was not a long poll. */
  void recordCallTime(long elapsedMs) {
    lastSlowCallMs = elapsedMs >= SLOW_MS ? clock.millis() : Long.MIN_VALUE / 2;
  }

  /** Returns whether turns should not wait for the store at present. */
  boolean isUnavailableOrSlow() {
    return isUnavailable() || clock.millis() - lastSlowCallMs < SLOW_RETENTION_MS;
  }

  /** Returns whether this VM's recent calls to the store failed or were slow. */
  boolean isDegraded() {
    boolean failing =
        failingSinceMs != Long.MAX_VALUE && clock.millis() - failingSinceMs >= IMPAIRED_AFTER_MS;
    return failing || isUnavailableOrSlow();
  }

  /** Returns whether the store is unavailable at present. */
  boolean isUnavailable() {
    return failingSinceMs != Long.MAX_VALUE && clock.millis() - failingSinceMs >= OUTAGE_AFTER_MS;
  }

  /**
   * Returns until when the endpoint of an entry that is removed now stays usable: entries that
   * expired because the store was unavailable are written again soon after its return. A time in
   * the past if no outage can have caused the removal.
   */
  long expiredEntriesUsableUntilMs() {
    long returnedMs = isUnavailable() ? clock.millis() : outageEndedMs;
    return returnedMs + REREGISTRATION_GRACE_MS;
  }

  long sinceLastSuccessMs() {
    return clock.millis() - lastSuccessMs;
  }
}
