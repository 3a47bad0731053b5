package io.magnoliaroute.core.cache;

/**
 * Periods of the reclaimer.
 *
 * @param repeatMs time after which a release, listing request or status query without an answer is
 *     repeated
 * @param listingPeriodMs time between two listings of an engine without gaps
 * @param liveRecheckMs time after which a partition owner is asked again whether a held program
 *     lives, as the message that it ended may be lost
 * @param endedRetentionMs time for which the end of a program is remembered
 */
public record CacheSettings(
    long repeatMs, long listingPeriodMs, long liveRecheckMs, long endedRetentionMs) {

  /** Rejects periods that are not positive. */
  public CacheSettings {
    if (repeatMs < 1 || listingPeriodMs < 1 || liveRecheckMs < 1 || endedRetentionMs < 1) {
      throw new IllegalArgumentException(
          "periods must be positive, were "
              + repeatMs
              + ", "
              + listingPeriodMs
              + ", "
              + liveRecheckMs
              + ", "
              + endedRetentionMs);
    }
  }

  /** Returns periods that allow three lost answers within the 2 s in which memory is released. */
  public static CacheSettings defaults() {
    return new CacheSettings(500, 10_000, 10_000, 600_000);
  }
}
