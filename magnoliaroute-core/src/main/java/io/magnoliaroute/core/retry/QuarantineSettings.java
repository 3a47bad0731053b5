package io.magnoliaroute.core.retry;

/**
 * Limits of the quarantine.
 *
 * @param maxEndpoints endpoints that a crashing request may be tried on
 * @param suspicionMs time after its last crash during which a request stays suspected
 * @param quarantineMs time for which a quarantined request is refused
 * @param maxEntries fingerprints kept, suspected and quarantined counted apart
 */
public record QuarantineSettings(
    int maxEndpoints, long suspicionMs, long quarantineMs, int maxEntries) {

  /** Rejects limits that are not positive. */
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

  /** Returns two endpoints, as the design page fixes, and an hour of quarantine. */
  public static QuarantineSettings defaults() {
    return new QuarantineSettings(2, 600_000, 3_600_000, 10_000);
  }
}
