package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointBoard;

/**
 * Refuses new programs whose deadline cannot be met behind the accepted ones. Programs under way
 * are accepted until their deadline has passed.
 */
final class AdmissionControl {

  private static final long MIN_RETRY_AFTER_MS = 250;
  private static final long MAX_RETRY_AFTER_MS = 30_000;
  private static final int PERCENT = 100;

  /** Part of the capacity that a class is assumed to get when classes before it take all. */
  private static final double MIN_CAPACITY_SHARE = 0.02;

  /** Part of the time to the deadline that may pass in waits, however long programs usually run. */
  private static final double MIN_WAIT_SHARE = 0.25;

  private final SchedulerLimits limits;
  private final ProgramLedger ledger;
  private final GroupStatistics statistics;
  private final EndpointBoard board;

  AdmissionControl(
      SchedulerLimits limits,
      ProgramLedger ledger,
      GroupStatistics statistics,
      EndpointBoard board) {
    this.limits = limits;
    this.ledger = ledger;
    this.statistics = statistics;
    this.board = board;
  }

  /** Returns the refusal of a call that would be served in the class, or null. */
  AdmissionDecision.Refused refusal(WaitingCall call, PriorityClass served, long nowMs) {
    if (call.deadlineMs() <= nowMs) {
      return new AdmissionDecision.Refused(RefusalReason.DEADLINE_UNREACHABLE, 0);
    }
    long slackMs = call.deadlineMs() - nowMs;
    if (call.underWay() || ledger.knows(call.rootProgram())) {
      return null;
    }
    double waitMs = predictedWaitMs(call, served, nowMs) * limits.deadlineMarginPercent() / PERCENT;
    double baseMs = ledger.sizes(served).baseMs();
    double allowedMs = Math.max(slackMs * MIN_WAIT_SHARE, slackMs - baseMs);
    if (waitMs <= allowedMs) {
      return null;
    }
    return new AdmissionDecision.Refused(
        RefusalReason.DEADLINE_UNREACHABLE, retryAfterMs(call, waitMs - allowedMs));
  }

  /**
   * Returns the time in which the accepted work that is served before the call is done. The service
   * of the program itself is part of its usual time.
   */
  private double predictedWaitMs(WaitingCall call, PriorityClass served, long nowMs) {
    double aheadUnits = Math.min(ledger.backlogUnits(served), teamUnits(call, served));
    for (PriorityClass before : PriorityClass.values()) {
      if (before.precedes(served)) {
        aheadUnits += ledger.backlogUnits(before);
      }
    }
    return aheadUnits / unitsPerMs(served, nowMs);
  }

  /** Returns what the group serves until the team's fair part of it covers the team's backlog. */
  private double teamUnits(WaitingCall call, PriorityClass served) {
    double units = ledger.teamBacklogUnits(served, call.team());
    double shares = ledger.otherShares(served, call.team()) + call.teamShare();
    return units * shares / call.teamShare();
  }

  private double unitsPerMs(PriorityClass served, long nowMs) {
    double all = Math.max(board.effectiveSlots(), 1) * statistics.unitsPerSlotMs();
    double left = all - statistics.unitsPerMsBefore(served, nowMs);
    return Math.max(left, all * MIN_CAPACITY_SHARE);
  }

  /** Spreads retries by program, so that callers refused together do not return together. */
  private static long retryAfterMs(WaitingCall call, double excessMs) {
    long spread = Math.floorMod(Hashing.fnv1a64(call.rootProgram().value()), 50);
    double retryMs = Math.max(MIN_RETRY_AFTER_MS, excessMs) * (PERCENT + spread) / PERCENT;
    return (long) Math.min(MAX_RETRY_AFTER_MS, retryMs);
  }
}
