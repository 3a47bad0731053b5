package io.magnoliaroute.core.schedule;

/**
 * What the VM that streams a call has seen so far.
 *
 * @param grantId the grant under which the call runs
 * @param timeToFirstTokenMs from sending the call to its first token; -1 before the first token
 * @param outputTokens tokens received so far
 * @param streamingMs from the first token to the latest; 0 before the second token
 */
public record CallObservation(
    long grantId, long timeToFirstTokenMs, int outputTokens, long streamingMs) {

  /** The value of {@code timeToFirstTokenMs} before the first token. */
  public static final long NO_TOKEN_YET = -1;

  /** Returns whether the first token has been seen. */
  public boolean hasFirstToken() {
    return timeToFirstTokenMs >= 0;
  }
}
