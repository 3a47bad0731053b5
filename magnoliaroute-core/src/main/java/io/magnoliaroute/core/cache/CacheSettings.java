package io.magnoliaroute.core.cache;

/**
 * Periods of the {@link CacheReclaimer}.
 *
 * @param retryIntervalMs the time after which an unanswered release, listing request or status
 *     query is repeated
 * @param listingPeriodMs the time between two listings of an engine whose event sequence has no
 *     gaps
 * @param liveStatusMaxAgeMs the time after which the status of a live cached program is queried
 *     again, as the message that it ended may have been lost
 * @param endedRetentionMs the time for which the status of an ended program is retained
 */
public record CacheSettings(
    long retryIntervalMs, long listingPeriodMs, long liveStatusMaxAgeMs, long endedRetentionMs) {

  /** Validates that all periods are positive. */
  public CacheSettings {
    if (retryIntervalMs < 1
        || listingPeriodMs < 1
        || liveStatusMaxAgeMs < 1
        || endedRetentionMs < 1) {
      throw new IllegalArgumentException(
          "periods in ms must be positive, were "
              + retryIntervalMs
              + ", "
              + listingPeriodMs
              + ", "
              + liveStatusMaxAgeMs
              + ", "
              + endedRetentionMs);
    }
  }

  /**
   * Returns periods that tolerate three lost responses within the 2 s bound on releasing memory.
   */
  public static CacheSettings defaults() {
    return new CacheSettings(500, 10_000, 10_000, 600_000);
  }
}
