package io.magnoliaroute.core.gateway;

/** A bucket of permits that fills at a rate up to a capacity. Starts empty. Not thread-safe. */
public final class TokenBucket {

  private static final double MS_PER_S = 1_000;

  private double available;
  private long refilledAtMs;

  /**
   * Creates an empty bucket.
   *
   * @param startMs the time from which it fills, which may lie in the future
   */
  public TokenBucket(long startMs) {
    this.refilledAtMs = startMs;
  }

  /** Adds the permits since the last call; permits beyond the capacity are lost. */
  public void refill(double permitsPerS, double capacity, long nowMs) {
    double elapsedS = Math.max(0, nowMs - refilledAtMs) / MS_PER_S;
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    available = Math.min(capacity, available + elapsedS * permitsPerS);
  }

  /** Returns the time until the bucket may issue a whole permit, in milliseconds. */
  public long delayMs(double permitsPerS, long nowMs) {
    double missing = Math.max(0, 1 - available);
    return Math.max(0, refilledAtMs - nowMs) + (long) Math.ceil(missing / permitsPerS * MS_PER_S);
  }

  /** Takes a permit; the bucket may owe permits that are issued for a later time. */
  public void take() {
    available--;
  }

  /** Adds permits regardless of the capacity, which the next refill applies. */
  public void add(double permits) {
    available += permits;
  }
}
