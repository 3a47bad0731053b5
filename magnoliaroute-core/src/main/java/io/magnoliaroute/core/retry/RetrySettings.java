package io.magnoliaroute.core.retry;

/**
 * Limits of retries and hedges of one team in one pool.
 *
 * @param refillPerSuccess retries earned by one success; 0.1 allows one retry for ten successes
 * @param floorPerSecond retries earned for each second, so that a team with little work can retry
 * @param burst the most retries that are kept
 * @param baseDelayMs upper bound of the delay before the first retry
 * @param maxDelayMs upper bound of the delay before any retry
 */
public record RetrySettings(
    double refillPerSuccess,
    double floorPerSecond,
    double burst,
    long baseDelayMs,
    long maxDelayMs) {

  /** Rejects values that would make the budget unbounded or useless. */
  public RetrySettings {
    if (!(refillPerSuccess >= 0 && refillPerSuccess <= 1)) {
      throw new IllegalArgumentException(
          "refillPerSuccess must be in 0 to 1, was " + refillPerSuccess);
    }
    if (!(floorPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "floorPerSecond must be at least 0, was " + floorPerSecond);
    }
    if (!(burst >= 1)) {
      throw new IllegalArgumentException("burst must be at least 1, was " + burst);
    }
    if (baseDelayMs < 1 || maxDelayMs < baseDelayMs) {
      throw new IllegalArgumentException(
          "delays must satisfy 1 <= base <= max, were " + baseDelayMs + ", " + maxDelayMs);
    }
  }

  /** Returns limits that add at most a tenth to the load of a pool that fails every call. */
  public static RetrySettings defaults() {
    return new RetrySettings(0.1, 0.2, 10, 50, 2_000);
  }
}
