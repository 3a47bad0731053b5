package io.magnoliaroute.core.gateway.history;

/** Limits the rate of calls of one kind that this VM makes. Not thread-safe. */
public final class CallBudget {

  /** Time over which unused calls accumulate, so that a short burst need not wait. */
  private static final long BURST_MS = 2_000;

  /** Calls that may always accumulate, however small a VM's share of the rate is. */
  private static final double MIN_BURST_CALLS = 4;

  private static final double MS_PER_S = 1_000;

  private double available = MIN_BURST_CALLS;
  private long refilledAtMs = Long.MIN_VALUE;

  /**
   * Takes a call if one is available.
   *
   * @param callsPerS the rate that this VM may use at present
   */
  public boolean tryTake(double callsPerS, long nowMs) {
    if (refilledAtMs != Long.MIN_VALUE) {
      double capacity = Math.max(MIN_BURST_CALLS, callsPerS * BURST_MS / MS_PER_S);
      double elapsedS = Math.max(0, nowMs - refilledAtMs) / MS_PER_S;
      available = Math.min(capacity, available + elapsedS * callsPerS);
    }
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
