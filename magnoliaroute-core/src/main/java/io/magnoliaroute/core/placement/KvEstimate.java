package io.magnoliaroute.core.placement;

/**
 * What moving a program's KV cache would cost.
 *
 * @param prefixTokens tokens of the history
 * @param targetCachedTokens tokens of it that the target engine already holds
 * @param kvBytesPerToken size of the KV cache for each token
 * @param transferBytesPerMs rate of the slowest of export, link and import
 * @param setupMs round trips of the export and import orders
 * @param prefillTokensPerMs rate at which the target engine computes a prefix
 */
public record KvEstimate(
    long prefixTokens,
    long targetCachedTokens,
    long kvBytesPerToken,
    double transferBytesPerMs,
    long setupMs,
    double prefillTokensPerMs) {

  /** Rejects rates that are not positive and negative numbers. */
  public KvEstimate {
    if (!(transferBytesPerMs > 0) || !(prefillTokensPerMs > 0)) {
      throw new IllegalArgumentException(
          "rates must be positive, were " + transferBytesPerMs + ", " + prefillTokensPerMs);
    }
    if (prefixTokens < 0 || targetCachedTokens < 0 || kvBytesPerToken < 0 || setupMs < 0) {
      throw new IllegalArgumentException(
          "sizes and times must not be negative, were "
              + prefixTokens
              + ", "
              + targetCachedTokens
              + ", "
              + kvBytesPerToken
              + ", "
              + setupMs);
    }
  }

  /** Returns the estimated time of a transfer of the whole prefix. */
  public double transferMs() {
    return setupMs + (double) prefixTokens * kvBytesPerToken / transferBytesPerMs;
  }

  /** Returns the estimated time to compute what the target engine does not hold. */
  public double recomputeMs() {
    return Math.max(0, prefixTokens - targetCachedTokens) / prefillTokensPerMs;
  }
}
