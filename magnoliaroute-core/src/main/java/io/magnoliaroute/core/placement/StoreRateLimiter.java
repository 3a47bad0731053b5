package io.magnoliaroute.core.placement;

/** Token bucket that limits load orders to the rate of the weight store. */
final class StoreRateLimiter {

  private static final long MS_PER_SECOND = 1_000;

  private final long bytesPerSecond;
  private final long burstBytes;
  private double availableBytes;
  private long refilledAtMs;

  StoreRateLimiter(PlacementSettings settings, long nowMs) {
    this.bytesPerSecond = settings.storeBytesPerSecond();
    this.burstBytes = settings.storeBurstBytes();
    this.availableBytes = burstBytes;
    this.refilledAtMs = nowMs;
  }

  /**
   * Takes the bytes of one load, or returns false if too few are available. A load larger than the
   * burst needs a full bucket and makes its level negative, so that the load can start and the mean
   * rate is still kept.
   */
  boolean tryTake(long sizeBytes, long nowMs) {
    double refillBytes =
        (double) bytesPerSecond * Math.max(0, nowMs - refilledAtMs) / MS_PER_SECOND;
    availableBytes = Math.min((double) burstBytes, availableBytes + refillBytes);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    long neededBytes = Math.min(sizeBytes, burstBytes);
    if (availableBytes < neededBytes) {
      return false;
    }
    availableBytes -= sizeBytes;
    return true;
  }
}
