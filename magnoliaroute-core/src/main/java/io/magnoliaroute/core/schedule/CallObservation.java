package io.magnoliaroute.core.schedule;

/**
 * Progress of a running call as observed by the VM that streams it.
 *
 * @param grantId the grant under which the call runs
 * @param timeToFirstTokenMs time from sending the call to its first token; -1 before the first
 *     token
 * @param outputTokens output tokens received so far
 * @param streamingMs time from the first token to the latest; 0 before the second token
 */
public record CallObservation(
    long grantId, long timeToFirstTokenMs, int outputTokens, long streamingMs) {

  /** Value of {@code timeToFirstTokenMs} before the first token. */
  public static final long NO_TOKEN_YET = -1;

  /** Returns whether the first token has been received. */
  public boolean hasFirstToken() {
    return timeToFirstTokenMs >= 0;
  }
}
