package io.magnoliaroute.core.membership;

/** Decides when a probe asks for a page of the receiver's table. */
final class TableSync {

  /** Time that piggybacked deltas are given to reach all VMs before pages are asked for early. */
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

  /** Returns whether the probe that is being sent should ask for a page. */
  boolean takeDue(long nowMs) {
    if (nowMs < nextMs) {
      return false;
    }
    nextMs = nowMs + settings.syncPeriodMs();
    pagesAsked++;
    return true;
  }

  /** Returns the number of the page to ask for next. */
  int nextPage() {
    return pagesAsked;
  }

  /** Returns whether this VM's table has ever been equal to that of another VM. */
  boolean hasSynchronised() {
    return everEqual;
  }

  /**
   * Takes in an answer. Digests differ for a few seconds after each change, so a page is asked for
   * early only by a VM that has just started, and when the difference lasts or the last page
   * brought much that was new.
   */
  void answered(boolean digestsDiffer, int newDeltas, long nowMs) {
    if (!digestsDiffer) {
      differSinceMs = NEVER_MS;
      everEqual = true;
      return;
    }
    differSinceMs = Math.min(differSinceMs, nowMs);
    boolean lasting = nowMs - differSinceMs >= DELTA_SPREAD_MS;
    if (!everEqual || lasting || newDeltas > settings.maxDeltas()) {
      nextMs = Math.min(nextMs, nowMs + settings.fastSyncPeriodMs());
    }
  }
}
