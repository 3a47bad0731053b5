package io.magnoliaroute.daemon.gateway;

import java.time.InstantSource;

/** Whether the platform's store answers this VM. Used on one event loop. */
final class StoreHealth {

  /** Failures for longer than this are an outage; shorter ones are single lost answers. */
  private static final long OUTAGE_AFTER_MS = 400;

  /** A call that took this long shows a slowed store; the usual answer takes a few ms. */
  private static final long SLOW_MS = 100;

  /** Failures for longer than this are no single lost answer; a turn waits no longer. */
  private static final long IMPAIRED_AFTER_MS = 100;

  /** How long a slow call counts; pending records are tried more often than this. */
  private static final long SLOW_LIFE_MS = 1_000;

  private final InstantSource clock;
  private final DecisionLog log;
  private long lastOkMs;
  private long failingSinceMs = Long.MAX_VALUE;
  private long outageEndedMs = Long.MIN_VALUE / 2;
  private boolean announced;
  private long slowSeenMs = Long.MIN_VALUE / 2;

  StoreHealth(InstantSource clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
    this.lastOkMs = clock.millis();
  }

  long nowMs() {
    return clock.millis();
  }

  void succeeded() {
    long nowMs = clock.millis();
    if (isOut()) {
      outageEndedMs = nowMs;
    }
    if (announced) {
      announced = false;
      log.line("dependency_regained")
          .put("dependency", "store")
          .put("away_ms", nowMs - lastOkMs)
          .write();
    }
    failingSinceMs = Long.MAX_VALUE;
    lastOkMs = nowMs;
  }

  void failed(Throwable cause) {
    failingSinceMs = Math.min(failingSinceMs, clock.millis());
    if (isOut() && !announced) {
      announced = true;
      log.line("dependency_lost")
          .put("dependency", "store")
          .put("silent_ms", clock.millis() - lastOkMs)
          .put("cause", String.valueOf(cause.getMessage()))
          .write();
    }
  }

  /** Takes the time of a call that the store did not hold on purpose. */
  void took(long elapsedMs) {
    slowSeenMs = elapsedMs >= SLOW_MS ? clock.millis() : Long.MIN_VALUE / 2;
  }

  /** Returns whether turns should not wait for the store now. */
  boolean isOutOrSlow() {
    return isOut() || clock.millis() - slowSeenMs < SLOW_LIFE_MS;
  }

  /** Returns whether this VM has just tried the store in vain. */
  boolean isImpaired() {
    boolean failing =
        failingSinceMs != Long.MAX_VALUE && clock.millis() - failingSinceMs >= IMPAIRED_AFTER_MS;
    return failing || isOutOrSlow();
  }

  /** Returns whether the store is away now. */
  boolean isOut() {
    return failingSinceMs != Long.MAX_VALUE && clock.millis() - failingSinceMs >= OUTAGE_AFTER_MS;
  }

  /** Returns whether entries may have expired only because the store was away. */
  boolean isOutOrJustBack() {
    return isOut() || clock.millis() - outageEndedMs < Beliefs.RETURN_GRACE_MS;
  }

  long sinceOkMs() {
    return clock.millis() - lastOkMs;
  }
}
