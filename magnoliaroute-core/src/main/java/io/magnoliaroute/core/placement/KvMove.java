package io.magnoliaroute.core.placement;

/** Mode of moving a program to another engine. */
public enum KvMove {
  /** The KV cache is exported from the engine that has it and imported on the other. */
  TRANSFER,
  /** The history is sent to the other engine, which computes the prefix again. */
  RECOMPUTE;

  /**
   * Maximum estimated transfer time as a share of the recomputation time. A transfer must be
   * clearly faster because it occupies two engines, and a failed one costs its time and the
   * recomputation.
   */
  private static final double TRANSFER_MARGIN = 0.8;

  /** Returns the mode with the lower estimated time, with a margin in favour of recomputation. */
  public static KvMove choose(KvMoveEstimate estimate) {
    return estimate.transferMs() < TRANSFER_MARGIN * estimate.recomputeMs() ? TRANSFER : RECOMPUTE;
  }
}
