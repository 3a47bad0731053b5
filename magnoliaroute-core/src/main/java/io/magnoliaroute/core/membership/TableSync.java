package io.magnoliaroute.core.membership;

/** Decides when a probe requests a page of the receiver's table. */
final class TableSync {

  /** Time allowed for piggybacked deltas to reach all VMs before pages are requested early. */
  private static final long DELTA_SPREAD_MS = 5_000;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final MembershipSettings settings;
  private long nextMs;
  private long differSinceMs = NEVER_MS;
  private boolean everEqual;
  private int pagesAsked;

  TableSync(MembershipSettings settings, long firstMs) {
    this.settings = settings;
    this.nextMs = firstMs;
  }

  /**
   * Returns whether the current probe should request a page and, if so, schedules the next request.
   */
  boolean takeDue(long nowMs) {
    if (nowMs < nextMs) {
      return false;
    }
    nextMs = nowMs + settings.syncPeriodMs();
    pagesAsked++;
    return true;
  }

  /** Returns the number of the page to request next. */
  int nextPage() {
    return pagesAsked;
  }

  /** Returns whether this VM's table has ever matched that of another VM. */
  boolean hasSynchronised() {
    return everEqual;
  }

  /**
   * Handles an ack. Digests differ for a few seconds after each change, so the next page request is
   * brought forward only if this VM's table has never matched another one, if the difference
   * persists, or if the ack contained many new deltas.
   */
  void answered(boolean digestsDiffer, int newDeltas, long nowMs) {
    if (!digestsDiffer) {
      differSinceMs = NEVER_MS;
      everEqual = true;
      return;
    }
    differSinceMs = Math.min(differSinceMs, nowMs);
    boolean differencePersists = nowMs - differSinceMs >= DELTA_SPREAD_MS;
    if (!everEqual || differencePersists || newDeltas > settings.maxDeltas()) {
      nextMs = Math.min(nextMs, nowMs + settings.fastSyncPeriodMs());
    }
  }
}
