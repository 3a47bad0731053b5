package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.route.EndpointBoard;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteRequest;
import java.util.List;

/**
 * Allocates and frees slots, and updates endpoint state, team charges, group statistics and program
 * totals accordingly.
 */
final class SlotLedger {

  private final SchedulerLimits limits;
  private final EndpointBoard board;
  private final CallQueues queues;
  private final ProgramLedger programs;
  private final GroupStatistics statistics;
  private final RunningCalls running = new RunningCalls();
  private long lastGrantId;

  SlotLedger(
      SchedulerLimits limits,
      EndpointBoard endpoints,
      CallQueues queues,
      ProgramLedger programs,
      GroupStatistics statistics) {
    this.limits = limits;
    this.board = endpoints;
    this.queues = queues;
    this.programs = programs;
    this.statistics = statistics;
  }

  RunningCalls running() {
    return running;
  }

  SlotGrant grant(QueuedCall queued, Placement placement, boolean hedge, long nowMs) {
    SlotGrant grant =
        new SlotGrant(
            queued.call.id(),
            placement.endpoint(),
            ++lastGrantId,
            nowMs + limits.grantExpiryMs(),
            queued.call.promptTokens() - placement.uncachedTokens(),
            placement.modelLoadNeeded(),
            queued.urgentDemoted,
            hedge);
    hold(queued, grant, placement.uncachedTokens(), nowMs);
    if (!hedge) {
      programs.granted(queued, nowMs);
    }
    return grant;
  }

  /**
   * Restores a grant of a previous owner. Later grants get higher ids, so the restored id is not
   * reused.
   */
  void restore(QueuedCall queued, SlotGrant grant, long nowMs) {
    lastGrantId = Math.max(lastGrantId, grant.grantId());
    int uncachedTokens = Math.max(0, queued.call.promptTokens() - grant.expectedCachedTokens());
    hold(queued, grant, uncachedTokens, nowMs);
  }

  void observe(RunningCall call, CallObservation observation, long nowMs) {
    running.seen(call, nowMs);
    if (observation.hasFirstToken()) {
      sawFirstToken(call, observation.timeToFirstTokenMs(), nowMs);
    }
    sawTokens(call, observation.outputTokens(), observation.streamingMs(), nowMs);
  }

  void end(RunningCall call, CallResult result, long nowMs) {
    if (result.timeToFirstTokenMs() >= 0) {
      sawFirstToken(call, result.timeToFirstTokenMs(), nowMs);
    }
    sawTokens(call, result.outputTokens(), result.streamingMs(), nowMs);
    long units = ServiceUnits.of(computedTokens(call, result), call.outputTokens);
    judgeEnding(call, result.ending(), nowMs);
    drop(call, units, nowMs);
    boolean runsElsewhere = running.contains(call.grant.call());
    if (result.ending() == CallEnding.PREEMPTED && !runsElsewhere) {
      call.queued.waitAgain(call.grant.endpoint(), nowMs);
      queues.add(call.queued);
      return;
    }
    programs.closed(call.queued, units, !runsElsewhere, nowMs);
  }

  /**
   * Reclaims the slots of grants without an observation for the expiry time and returns their
   * number.
   */
  int expire(long nowMs) {
    List<RunningCall> expired = running.silentFor(limits.grantExpiryMs(), nowMs);
    for (RunningCall call : expired) {
      long units = ServiceUnits.of(0, call.outputTokens);
      drop(call, units, nowMs);
      programs.closed(call.queued, units, !running.contains(call.grant.call()), nowMs);
    }
    return expired.size();
  }

  /**
   * Returns the route request for a call. Its queue wait is that of a call at the end of the same
   * class.
   */
  RouteRequest routeRequest(QueuedCall queued) {
    double slots = Math.max(1, board.slotsAtLastJudgement());
    double waitMs = queues.sizeUpTo(queued.served) * statistics.slotMs() / slots;
    return new RouteRequest(
        queued.call.dataCentre(),
        queued.call.model(),
        queued.call.promptTokens(),
        queued.cachedPrefixTokens(),
        queued.call.avoidedEndpoints(),
        statistics.expectedOutputTokens(queued.served),
        queued.isUrgent(),
        waitMs);
  }

  private void hold(QueuedCall queued, SlotGrant grant, int uncachedTokens, long nowMs) {
    double outputTokens = statistics.expectedOutputTokens(queued.served);
    RunningCall call = new RunningCall(queued, grant, uncachedTokens, outputTokens, nowMs);
    running.add(call);
    EndpointId endpoint = call.grant.endpoint();
    call.promptTokensAhead =
        board.occupy(endpoint, call.queued.isUrgent(), call.uncachedTokens, nowMs);
    // Charged in advance so that a team cannot take all slots before its first call ends.
    queues.charge(call.queued, call.expectedUnits);
  }

  private void drop(RunningCall call, long units, long nowMs) {
    running.remove(call);
    board.vacate(call.grant.endpoint(), call.queued.isUrgent(), call.pendingTokens());
    queues.charge(call.queued, units - call.expectedUnits);
    statistics.released(call.queued.served, call.heldMs(nowMs), units, nowMs);
  }

  private void judgeEnding(RunningCall call, CallEnding ending, long nowMs) {
    if (ending == CallEnding.COMPLETED) {
      board.sawCompletion(call.grant.endpoint(), nowMs);
      statistics.completed(call.queued.served, call.outputTokens);
    }
    if (ending == CallEnding.FAILED) {
      board.sawFailure(call.grant.endpoint());
    }
  }

  private static long computedTokens(RunningCall call, CallResult result) {
    if (!call.firstTokenSeen) {
      return 0;
    }
    int cachedTokens = Math.max(result.cachedTokens(), call.grant.expectedCachedTokens());
    return Math.max(0, call.queued.call.promptTokens() - cachedTokens);
  }

  private void sawFirstToken(RunningCall call, long timeToFirstTokenMs, long nowMs) {
    if (call.firstTokenSeen) {
      return;
    }
    call.firstTokenSeen = true;
    board.sawFirstToken(
        call.grant.endpoint(),
        timeToFirstTokenMs,
        call.uncachedTokens,
        call.promptTokensAhead,
        nowMs);
  }

  private void sawTokens(RunningCall call, int outputTokens, long streamingMs, long nowMs) {
    int newTokens = outputTokens - call.outputTokens;
    if (newTokens <= 0) {
      return;
    }
    long spanMs = streamingMs - call.streamingMs;
    if (call.outputTokens > 0 && spanMs >= 0) {
      board.sawTokens(call.grant.endpoint(), newTokens, spanMs, nowMs);
    }
    call.outputTokens = outputTokens;
    call.streamingMs = streamingMs;
  }
}
