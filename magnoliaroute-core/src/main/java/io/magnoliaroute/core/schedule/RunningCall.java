package io.magnoliaroute.core.schedule;

/** A call that runs under a grant. */
final class RunningCall {

  final QueuedCall queued;
  final SlotGrant grant;
  final int uncachedTokens;
  final long grantedMs;

  /** Service charged to the team at the time of the grant; corrected when the grant ends. */
  final double expectedUnits;

  /**
   * Prompt tokens, including those of this call, that the endpoint computes before the first token
   * of this call.
   */
  long promptTokensAhead;

  long lastObservedMs;
  boolean firstTokenReceived;
  int outputTokens;
  long streamingMs;
  boolean preemptionRequested;

  RunningCall(
      QueuedCall queued,
      SlotGrant grant,
      int uncachedTokens,
      double expectedOutputTokens,
      long grantedMs) {
    this.queued = queued;
    this.grant = grant;
    this.uncachedTokens = uncachedTokens;
    this.grantedMs = grantedMs;
    this.lastObservedMs = grantedMs;
    this.expectedUnits = ServiceUnits.of(uncachedTokens, Math.round(expectedOutputTokens));
  }

  /**
   * Returns the prompt tokens of the call that the endpoint is expected to compute still; 0 after
   * the first token.
   */
  int pendingTokens() {
    return firstTokenReceived ? 0 : uncachedTokens;
  }

  long heldMs(long nowMs) {
    return Math.max(0, nowMs - grantedMs);
  }
}
