package io.magnoliaroute.core.retry;

/**
 * Limits of the quarantine of requests that crash endpoints.
 *
 * @param maxEndpoints the number of crashed endpoints after which a request is quarantined
 * @param suspicionMs the time after its last crash for which a request stays suspected
 * @param quarantineMs the time for which a quarantined request is refused
 * @param maxEntries the maximum number of suspected requests, and separately of quarantined ones
 */
public record QuarantineSettings(
    int maxEndpoints, long suspicionMs, long quarantineMs, int maxEntries) {

  /** Validates that all limits are positive. */
  public QuarantineSettings {
    if (maxEndpoints < 1 || suspicionMs < 1 || quarantineMs < 1 || maxEntries < 1) {
      throw new IllegalArgumentException(
          "quarantine limits must be positive, were "
              + maxEndpoints
              + ", "
              + suspicionMs
              + ", "
              + quarantineMs
              + ", "
              + maxEntries);
    }
  }

  /**
   * Returns the default limits: two endpoints, as specified by the design, and one hour of
   * quarantine.
   */
  public static QuarantineSettings defaults() {
    return new QuarantineSettings(2, 600_000, 3_600_000, 10_000);
  }
}
