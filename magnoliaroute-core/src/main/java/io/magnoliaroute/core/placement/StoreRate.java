package io.magnoliaroute.core.placement;

/** The token bucket that keeps load orders within the weight store's rate. */
final class StoreRate {

  private static final long MS_PER_SECOND = 1_000;

  private final long bytesPerSecond;
  private final long burstBytes;
  private double availableBytes;
  private long refilledAtMs;

  StoreRate(PlacementSettings settings, long nowMs) {
    this.bytesPerSecond = settings.storeBytesPerSecond();
    this.burstBytes = settings.storeBurstBytes();
    this.availableBytes = burstBytes;
    this.refilledAtMs = nowMs;
  }

  /**
   * Takes the bytes of one load. A load larger than the burst needs a full bucket and leaves a
   * debt, so that it can start at all and the mean rate still holds.
   */
  boolean tryTake(long sizeBytes, long nowMs) {
    double earned = (double) bytesPerSecond * Math.max(0, nowMs - refilledAtMs) / MS_PER_SECOND;
    availableBytes = Math.min((double) burstBytes, availableBytes + earned);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    long neededBytes = Math.min(sizeBytes, burstBytes);
    if (availableBytes < neededBytes) {
      return false;
    }
    availableBytes -= sizeBytes;
    return true;
  }
}
