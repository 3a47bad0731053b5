package io.magnoliaroute.core.placement;

/** How a program continues on another engine. */
public enum KvMove {
  /** Export the KV cache from the engine that holds it and import it. */
  TRANSFER,
  /** Send the history and let the engine compute the prefix again. */
  RECOMPUTE;

  /**
   * A transfer must be this much faster by estimate: it occupies two engines, and one that fails
   * costs its time and the recomputation.
   */
  private static final double TRANSFER_MARGIN = 0.8;

  /** Chooses by estimated time. */
  public static KvMove choose(KvEstimate estimate) {
    return estimate.transferMs() < TRANSFER_MARGIN * estimate.recomputeMs() ? TRANSFER : RECOMPUTE;
  }
}
