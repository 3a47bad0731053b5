package io.magnoliaroute.core.schedule;

/** One grant that is in use. */
final class RunningCall {

  final QueuedCall queued;
  final SlotGrant grant;
  final int uncachedTokens;
  final long grantedMs;

  /** Service charged to the team when the slot was given, corrected when it ends. */
  final double expectedUnits;

  /** Prompt tokens that the endpoint computes before the first token of this call. */
  long promptTokensAhead;

  long lastSeenMs;
  boolean firstTokenSeen;
  int outputTokens;
  long streamingMs;
  boolean preemptionOrdered;

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
    this.lastSeenMs = grantedMs;
    this.expectedUnits = ServiceUnits.of(uncachedTokens, Math.round(expectedOutputTokens));
  }

  /** Returns prompt tokens that the endpoint still has to compute, as far as is known. */
  int pendingTokens() {
    return firstTokenSeen ? 0 : uncachedTokens;
  }

  long heldMs(long nowMs) {
    return Math.max(0, nowMs - grantedMs);
  }
}
