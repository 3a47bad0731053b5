package io.magnoliaroute.core.membership;

/** Decides when a probe requests a page of the receiver's table. */
final class TableSyncScheduler {

  /** Time allowed for piggybacked deltas to reach all VMs before pages are requested early. */
  private static final long DELTA_PROPAGATION_MS = 5_000;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final MembershipSettings settings;
  private long nextRequestMs;
  private long digestsDifferSinceMs = NEVER_MS;
  private boolean hasMatched;
  private int requestedPages;

  TableSyncScheduler(MembershipSettings settings, long firstMs) {
    this.settings = settings;
    this.nextRequestMs = firstMs;
  }

  /**
   * Returns whether the current probe should request a page and, if so, schedules the next request.
   */
  boolean requestPageIfDue(long nowMs) {
    if (nowMs < nextRequestMs) {
      return false;
    }
    nextRequestMs = nowMs + settings.syncPeriodMs();
    requestedPages++;
    return true;
  }

  /** Returns the number of the page to request next. */
  int nextPage() {
    return requestedPages;
  }

  /** Returns whether this VM's table has ever matched that of another VM. */
  boolean hasSynchronised() {
    return hasMatched;
  }

  /**
   * Handles an ack. Digests differ for a few seconds after each change, so the next page request is
   * brought forward only if this VM's table has never matched another one, if the difference
   * persists, or if the ack contained many new deltas.
   */
  void handleAck(boolean digestsDiffer, int newDeltas, long nowMs) {
    if (!digestsDiffer) {
      digestsDifferSinceMs = NEVER_MS;
      hasMatched = true;
      return;
    }
    digestsDifferSinceMs = Math.min(digestsDifferSinceMs, nowMs);
    boolean differencePersists = nowMs - digestsDifferSinceMs >= DELTA_PROPAGATION_MS;
    if (!hasMatched || differencePersists || newDeltas > settings.maxDeltas()) {
      nextRequestMs = Math.min(nextRequestMs, nowMs + settings.fastSyncPeriodMs());
    }
  }
}
