package io.magnoliaroute.core.membership;

/**
 * Converts readings of the caller's clock, which may be set back, to a time that never decreases.
 * Without the conversion, setting the clock back by an hour would stop all probes for that hour.
 */
final class MonotonicClock {

  private long lastMs;
  private long offsetMs;

  MonotonicClock(long nowMs) {
    this.lastMs = nowMs;
  }

  /** Returns the non-decreasing time for a reading of the caller's clock. */
  long toMonotonicMs(long clockMs) {
    long adjustedMs = clockMs + offsetMs;
    if (adjustedMs < lastMs) {
      offsetMs += lastMs - adjustedMs;
    }
    lastMs = clockMs + offsetMs;
    return lastMs;
  }
}
