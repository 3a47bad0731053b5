package io.magnoliaroute.core.placement;

/**
 * Limits of a placement controller.
 *
 * @param storeBytesPerSecond the part of the weight store's bandwidth that this group owner may use
 * @param storeBurstBytes bytes that may be fetched in a burst; a larger variant waits until the
 *     full burst is available
 * @param orderTimeoutMs time after which an order without a response is repeated
 * @param maxBackoffMs the maximum backoff between orders that fail
 * @param listingPeriodMs interval between the listings of an engine
 */
public record PlacementSettings(
    long storeBytesPerSecond,
    long storeBurstBytes,
    long orderTimeoutMs,
    long maxBackoffMs,
    long listingPeriodMs) {

  /** Rejects limits that are not positive and a maximum backoff below the order timeout. */
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
