package io.magnoliaroute.daemon.lifecycle;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A clock that starts at the wall-clock time and advances with the monotonic clock, so that a step
 * of the wall clock neither extends nor shortens leases and deadlines.
 */
public final class SteadyClock implements InstantSource {

  private final long startMs;
  private final long startNanos;
  private final LongSupplier monotonicNanos;

  /** Creates a clock that starts at the current time of the wall clock. */
  public SteadyClock(InstantSource wallClock, LongSupplier monotonicNanos) {
    this.startMs = wallClock.millis();
    this.monotonicNanos = monotonicNanos;
    this.startNanos = monotonicNanos.getAsLong();
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(monotonicNanos.getAsLong() - startNanos);
  }
}
