package io.magnoliaroute.core.schedule;

import java.util.Objects;

/**
 * The end of a grant with the observed times.
 *
 * @param grantId the grant that ends
 * @param ending how it ended
 * @param cachedTokens prompt tokens that the endpoint found in its prefix cache; 0 where not known
 * @param timeToFirstTokenMs from sending the call to its first token; -1 without a token
 * @param outputTokens tokens received
 * @param streamingMs from the first token to the last
 */
public record CallResult(
    long grantId,
    CallEnding ending,
    int cachedTokens,
    long timeToFirstTokenMs,
    int outputTokens,
    long streamingMs) {

  /** Rejects a missing ending and negative counts. */
  public CallResult {
    Objects.requireNonNull(ending, "ending");
    if (cachedTokens < 0) {
      throw new IllegalArgumentException("cachedTokens must not be negative, was " + cachedTokens);
    }
    if (outputTokens < 0) {
      throw new IllegalArgumentException("outputTokens must not be negative, was " + outputTokens);
    }
  }

  /** Returns a result without any token. */
  public static CallResult withoutTokens(long grantId, CallEnding ending) {
    return new CallResult(grantId, ending, 0, CallObservation.NO_TOKEN_YET, 0, 0);
  }
}
