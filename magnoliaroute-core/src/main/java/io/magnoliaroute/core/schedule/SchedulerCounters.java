package io.magnoliaroute.core.schedule;

import java.util.Map;

/**
 * What a group scheduler has decided since it was made, for operators.
 *
 * @param accepted calls accepted
 * @param urgentDemoted urgent calls past their team's ration, accepted as normal
 * @param granted slots given, hedges included
 * @param hedged second slots given
 * @param preempted bulk streams ordered to be cancelled
 * @param expired slots taken back without a release
 * @param refused calls refused, by reason
 */
public record SchedulerCounters(
    long accepted,
    long urgentDemoted,
    long granted,
    long hedged,
    long preempted,
    long expired,
    Map<RefusalReason, Long> refused) {

  /** Copies the map. */
  public SchedulerCounters {
    refused = Map.copyOf(refused);
  }
}
