package io.magnoliaroute.core.gateway.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The recent demand for one service, by workspace and by rank. Not thread-safe. */
final class ServiceDemand {

  /** Half-life of the counts; within the usual duration of a program. */
  static final double HALF_LIFE_MS = 1_000;

  /** Maximum number of workspaces; several times those of a large deployment. */
  static final int MAX_WORKSPACES = 1_024;

  /** Maximum number of ranks; further ones are counted together with the lowest. */
  static final int MAX_RANKS = 16;

  /**
   * Count below which a rank or workspace is not in use; a single request fades to it within 4 s.
   */
  private static final double MIN_COUNT = 0.06;

  /**
   * Bounds of the fairness factor. The lower bound keeps a workspace with many times the usual
   * demand from being refused entirely.
   */
  private static final double MIN_FACTOR = 0.25;

  private static final double MAX_FACTOR = 2;

  /**
   * Time after which a service is no longer short of capacity though its load has not fallen: it
   * may be the usual load. Longer than a program of several turns takes.
   */
  static final long MAX_RELIEF_MS = 3_000;

  private long lastFullAtMs = Long.MIN_VALUE / 2;
  private boolean isShort;
  private final Map<Integer, DecayingCount> byRank = new HashMap<>();
  private final DecayingCount offered = new DecayingCount(HALF_LIFE_MS);
  private final DecayingCount refused = new DecayingCount(HALF_LIFE_MS);
  private final Map<String, DecayingCount> byWorkspace =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecayingCount> eldest) {
          return size() > MAX_WORKSPACES;
        }
      };

  /** Records that a request has arrived. */
  void recordArrival(AdmissionRequest request, long nowMs) {
    int rank = Math.min(MAX_RANKS - 1, Math.max(0, request.rank()));
    byRank.computeIfAbsent(rank, any -> new DecayingCount(HALF_LIFE_MS)).add(1, nowMs);
    if (request.isNew()) {
      offered.add(1, nowMs);
      byWorkspace
          .computeIfAbsent(request.workspace(), any -> new DecayingCount(HALF_LIFE_MS))
          .add(1, nowMs);
      removeIdleWorkspaces(nowMs);
    }
  }

  // The map is ordered by the last use, so that the idle ones come first.
  private void removeIdleWorkspaces(long nowMs) {
    Iterator<DecayingCount> eldest = byWorkspace.values().iterator();
    while (eldest.hasNext() && eldest.next().value(nowMs) < MIN_COUNT) {
      eldest.remove();
    }
  }

  /**
   * Updates and returns whether the service is short of capacity: from the time at which requests
   * queue for lack of places until its load has fallen.
   *
   * @param isFull whether requests queue for lack of places
   * @param isBusy whether the load is still too high for the shortage to end
   */
  boolean updateShortage(boolean isFull, boolean isBusy, long nowMs) {
    if (isFull) {
      lastFullAtMs = nowMs;
    }
    isShort = isFull || (isShort && isBusy && nowMs - lastFullAtMs < MAX_RELIEF_MS);
    return isShort;
  }

  /** Records that the first turn of a program was refused. */
  void recordRefusal(long nowMs) {
    refused.add(1, nowMs);
  }

  /** Returns whether requests of a rank that is higher than the given one arrived recently. */
  boolean hasHigherRank(int rank, long nowMs) {
    return byRank.entrySet().stream()
        .anyMatch(e -> e.getKey() < rank && e.getValue().value(nowMs) > MIN_COUNT);
  }

  /** Returns whether requests of a rank that is lower than the given one arrived recently. */
  boolean hasLowerRank(int rank, long nowMs) {
    return byRank.entrySet().stream()
        .anyMatch(e -> e.getKey() > rank && e.getValue().value(nowMs) > MIN_COUNT);
  }

  /** Returns the share of new programs that was refused recently, from 0 to 1. */
  double refusedShare(long nowMs) {
    return Math.min(1, refused.value(nowMs) / Math.max(1, offered.value(nowMs)));
  }

  /**
   * Returns the factor by which the probability of admitting a new program of the workspace differs
   * from the average: lower for workspaces with more demand than the others.
   */
  double fairnessFactor(String workspace, long nowMs) {
    DecayingCount own = byWorkspace.get(workspace);
    if (own == null) {
      return 1;
    }
    double mean = offered.value(nowMs) / byWorkspace.size();
    // One is added so that the first few requests of a workspace do not decide.
    double factor = (mean + 1) / (own.value(nowMs) + 1);
    return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
  }
}
