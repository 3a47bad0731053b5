package io.magnoliaroute.core.schedule;

import java.util.Map;

/**
 * Counts of the decisions that a group scheduler has made since its creation, for operators.
 *
 * @param accepted accepted calls
 * @param urgentDemoted urgent calls that exceeded their team's urgent ration and were accepted with
 *     normal priority
 * @param granted grants, including those of hedged attempts
 * @param hedged grants for hedged attempts
 * @param preempted bulk streams for which cancellation was requested
 * @param expired grants that expired without a release
 * @param refused refused calls by reason
 */
public record SchedulerCounters(
    long accepted,
    long urgentDemoted,
    long granted,
    long hedged,
    long preempted,
    long expired,
    Map<RefusalReason, Long> refused) {

  /** Makes a defensive copy of the map. */
  public SchedulerCounters {
    refused = Map.copyOf(refused);
  }
}
