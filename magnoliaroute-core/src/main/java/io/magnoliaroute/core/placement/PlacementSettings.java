package io.magnoliaroute.core.placement;

/**
 * Limits of placement.
 *
 * @param storeBytesPerSecond the share of the weight store's rate that this group owner may use
 * @param storeBurstBytes weights that may be fetched at once; a larger variant waits for this much
 * @param orderTimeoutMs time after which an order without an answer is given again
 * @param maxBackoffMs the longest wait between orders that fail
 * @param listingPeriodMs time between two listings of an engine
 */
public record PlacementSettings(
    long storeBytesPerSecond,
    long storeBurstBytes,
    long orderTimeoutMs,
    long maxBackoffMs,
    long listingPeriodMs) {

  /** Rejects limits that are not positive. */
  public PlacementSettings {
    if (storeBytesPerSecond < 1 || storeBurstBytes < 1) {
      throw new IllegalArgumentException(
          "store limits must be positive, were " + storeBytesPerSecond + ", " + storeBurstBytes);
    }
    if (orderTimeoutMs < 1 || maxBackoffMs < orderTimeoutMs || listingPeriodMs < 1) {
      throw new IllegalArgumentException(
          "periods must be positive and maxBackoffMs at least orderTimeoutMs, were "
              + orderTimeoutMs
              + ", "
              + maxBackoffMs
              + ", "
              + listingPeriodMs);
    }
  }
}
