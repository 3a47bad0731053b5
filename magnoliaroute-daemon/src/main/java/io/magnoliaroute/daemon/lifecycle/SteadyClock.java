package io.magnoliaroute.daemon.lifecycle;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The wall clock at the start, advanced by the monotonic clock. A step of the wall clock neither
 * lengthens nor shortens a lease or a deadline.
 */
public final class SteadyClock implements InstantSource {

  private final long startMs;
  private final long startNanos;
  private final LongSupplier nanos;

  /** Starts at the time of the wall clock. */
  public SteadyClock(InstantSource wall, LongSupplier nanos) {
    this.startMs = wall.millis();
    this.nanos = nanos;
    this.startNanos = nanos.getAsLong();
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - startNanos);
  }
}
