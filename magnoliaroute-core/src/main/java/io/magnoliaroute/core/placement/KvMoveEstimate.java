package io.magnoliaroute.core.placement;

/**
 * Input of the cost estimate for moving a program's KV cache to another engine.
 *
 * @param prefixTokens tokens of the history
 * @param targetCachedTokens tokens of the history that the target engine has cached
 * @param kvBytesPerToken size of the KV cache in bytes for each token
 * @param transferBytesPerMs transfer rate, limited by the slowest of export, link and import
 * @param setupMs duration of the round trips of the export and import requests
 * @param prefillTokensPerMs rate at which the target engine computes a prefix
 */
public record KvMoveEstimate(
    long prefixTokens,
    long targetCachedTokens,
    long kvBytesPerToken,
    double transferBytesPerMs,
    long setupMs,
    double prefillTokensPerMs) {

  /** Rejects rates that are not positive, and negative sizes and times. */
  public KvMoveEstimate {
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

  /** Returns the estimated time to transfer the whole prefix. */
  public double transferMs() {
    return setupMs + (double) prefixTokens * kvBytesPerToken / transferBytesPerMs;
  }

  /** Returns the estimated time to compute the tokens that the target engine has not cached. */
  public double recomputeMs() {
    return Math.max(0, prefixTokens - targetCachedTokens) / prefillTokensPerMs;
  }
}
