package io.magnoliaroute.core.schedule;

import java.util.Objects;

/**
 * Result of a grant that ended.
 *
 * @param grantId the grant that ended
 * @param ending how it ended
 * @param cachedTokens prompt tokens that the endpoint found in its prefix cache; 0 if unknown
 * @param timeToFirstTokenMs time from sending the call to its first token; -1 without a token
 * @param outputTokens output tokens received
 * @param streamingMs time from the first token to the last
 */
public record CallResult(
    long grantId,
    CallEnding ending,
    int cachedTokens,
    long timeToFirstTokenMs,
    int outputTokens,
    long streamingMs) {

  /** Rejects a null ending and negative token counts. */
  public CallResult {
    Objects.requireNonNull(ending, "ending");
    if (cachedTokens < 0) {
      throw new IllegalArgumentException("cachedTokens must not be negative, was " + cachedTokens);
    }
    if (outputTokens < 0) {
      throw new IllegalArgumentException("outputTokens must not be negative, was " + outputTokens);
    }
  }

  /** Returns a result for a grant under which no token was received. */
  public static CallResult withoutTokens(long grantId, CallEnding ending) {
    return new CallResult(grantId, ending, 0, CallObservation.NO_TOKEN_YET, 0, 0);
  }
}
