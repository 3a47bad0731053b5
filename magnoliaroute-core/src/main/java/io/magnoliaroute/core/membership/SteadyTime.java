package io.magnoliaroute.core.membership;

/**
 * Turns the caller's clock, which may be set back, into a time that never goes back. Without it a
 * clock that is set back by an hour would stop all probes for that hour.
 */
final class SteadyTime {

  private long lastMs;
  private long offsetMs;

  SteadyTime(long nowMs) {
    this.lastMs = nowMs;
  }

  /** Returns the time for a reading of the caller's clock. */
  long at(long clockMs) {
    long steadyMs = clockMs + offsetMs;
    if (steadyMs < lastMs) {
      offsetMs += lastMs - steadyMs;
    }
    lastMs = clockMs + offsetMs;
    return lastMs;
  }
}
