package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointTable;

/**
 * Refuses calls of new programs whose deadline cannot be met given the work already accepted. Calls
 * of programs under way are refused only once the deadline has passed.
 */
final class AdmissionControl {

  private static final long MIN_RETRY_AFTER_MS = 250;
  private static final long MAX_RETRY_AFTER_MS = 30_000;
  private static final int PERCENT = 100;

  /** Minimum share of the capacity assumed for a class when higher classes use all of it. */
  private static final double MIN_CAPACITY_SHARE = 0.02;

  /**
   * Minimum share of the time to the deadline that may be spent waiting, however long programs of
   * the class usually run.
   */
  private static final double MIN_WAIT_SHARE = 0.25;

  private final SchedulerLimits limits;
  private final AcceptedPrograms programs;
  private final GroupStatistics statistics;
  private final EndpointTable endpoints;

  AdmissionControl(
      SchedulerLimits limits,
      AcceptedPrograms programs,
      GroupStatistics statistics,
      EndpointTable endpoints) {
    this.limits = limits;
    this.programs = programs;
    this.statistics = statistics;
    this.endpoints = endpoints;
  }

  /**
   * Returns the refusal of a call with the given effective priority, or null if it may be admitted.
   */
  AdmissionDecision.Refused refusal(WaitingCall call, PriorityClass effectivePriority, long nowMs) {
    if (call.deadlineMs() <= nowMs) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE_UNREACHABLE, 0);
    }
    long slackMs = call.deadlineMs() - nowMs;
    if (call.underWay() || programs.contains(call.rootProgram())) {
      return null;
    }
    double waitMs =
        predictedWaitMs(call, effectivePriority, nowMs) * limits.deadlineMarginPercent() / PERCENT;
    double meanRunMs = programs.sizes(effectivePriority).meanRunMs();
    double allowedMs = Math.max(slackMs * MIN_WAIT_SHARE, slackMs - meanRunMs);
    if (waitMs <= allowedMs) {
      return null;
    }
    return new AdmissionDecision.Refused(
        RefusalReason.DEADLINE_UNREACHABLE, retryAfterMs(call, waitMs - allowedMs));
  }

  /**
   * Returns the predicted time until the accepted work ahead of the call is done. The program's own
   * service is excluded, because the mean run time of programs includes it.
   */
  private double predictedWaitMs(WaitingCall call, PriorityClass effectivePriority, long nowMs) {
    double unitsAhead =
        Math.min(
            programs.backlogUnits(effectivePriority), unitsUntilFairShare(call, effectivePriority));
    for (PriorityClass higher : PriorityClass.values()) {
      if (higher.precedes(effectivePriority)) {
        unitsAhead += programs.backlogUnits(higher);
      }
    }
    return unitsAhead / unitsPerMs(effectivePriority, nowMs);
  }

  /**
   * Returns the service that the group must provide in the class until the team's fair share of it
   * covers the team's backlog.
   */
  private double unitsUntilFairShare(WaitingCall call, PriorityClass effectivePriority) {
    double units = programs.teamBacklogUnits(effectivePriority, call.team());
    double shares = programs.otherShares(effectivePriority, call.team()) + call.teamShare();
    return units * shares / call.teamShare();
  }

  private double unitsPerMs(PriorityClass effectivePriority, long nowMs) {
    double totalUnitsPerMs = Math.max(endpoints.effectiveSlots(), 1) * statistics.unitsPerSlotMs();
    double availableUnitsPerMs =
        totalUnitsPerMs - statistics.unitsPerMsOfHigherClasses(effectivePriority, nowMs);
    return Math.max(availableUnitsPerMs, totalUnitsPerMs * MIN_CAPACITY_SHARE);
  }

  /**
   * Returns the retry delay, with a jitter derived from the program so that callers refused
   * together do not retry at the same time.
   */
  private static long retryAfterMs(WaitingCall call, double excessMs) {
    long jitterPercent = Math.floorMod(Hashing.fnv1a64(call.rootProgram().value()), 50);
    double retryMs = Math.max(MIN_RETRY_AFTER_MS, excessMs) * (PERCENT + jitterPercent) / PERCENT;
    return (long) Math.min(MAX_RETRY_AFTER_MS, retryMs);
  }
}
