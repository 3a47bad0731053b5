package io.magnoliaroute.core.retry;

/**
 * Limits on the retries and hedges of a team in a pool.
 *
 * @param refillPerSuccess the tokens added for each success; 0.1 allows one retry per ten successes
 * @param refillPerSecond the tokens added per second, so that a team with little traffic can retry
 * @param burst the maximum number of tokens in a bucket
 * @param baseDelayMs the upper bound of the delay before the first retry
 * @param maxDelayMs the upper bound of the delay before any retry
 */
public record RetrySettings(
    double refillPerSuccess,
    double refillPerSecond,
    double burst,
    long baseDelayMs,
    long maxDelayMs) {

  /** Validates the ranges; values outside would make the retry budget unbounded or unusable. */
  public RetrySettings {
    if (!(refillPerSuccess >= 0 && refillPerSuccess <= 1)) {
      throw new IllegalArgumentException(
          "refillPerSuccess must be in 0 to 1, was " + refillPerSuccess);
    }
    if (!(refillPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "refillPerSecond must be at least 0, was " + refillPerSecond);
    }
    if (!(burst >= 1)) {
      throw new IllegalArgumentException("burst must be at least 1, was " + burst);
    }
    if (baseDelayMs < 1 || maxDelayMs < baseDelayMs) {
      throw new IllegalArgumentException(
          "delays must satisfy 1 <= baseDelayMs <= maxDelayMs, were "
              + baseDelayMs
              + ", "
              + maxDelayMs);
    }
  }

  /** Returns limits that add at most 10 % to the load of a pool in which every call fails. */
  public static RetrySettings defaults() {
    return new RetrySettings(0.1, 0.2, 10, 50, 2_000);
  }
}
