package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.route.EndpointBoard;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteRequest;
import java.util.List;

/** Makes and ends grants, and keeps the board, the statistics and the program ledger in step. */
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
      EndpointBoard board,
      CallQueues queues,
      ProgramLedger programs,
      GroupStatistics statistics) {
    this.limits = limits;
    this.board = board;
    this.queues = queues;
    this.programs = programs;
    this.statistics = statistics;
  }

  RunningCalls running() {
    return running;
  }

  SlotGrant grant(QueuedCall queued, Placement at, boolean hedge, long nowMs) {
    SlotGrant grant =
        new SlotGrant(
            queued.call.id(),
            at.endpoint(),
            ++lastGrantId,
            nowMs + limits.grantExpiryMs(),
            queued.call.promptTokens() - at.uncachedTokens(),
            at.modelLoadNeeded(),
            queued.urgentDemoted,
            hedge);
    hold(queued, grant, at.uncachedTokens(), nowMs);
    if (!hedge) {
      programs.granted(queued, nowMs);
    }
    return grant;
  }

  /** Takes over a grant of an earlier owner; its number must not be given again. */
  void restore(QueuedCall queued, SlotGrant grant, long nowMs) {
    lastGrantId = Math.max(lastGrantId, grant.grantId());
    int uncached = Math.max(0, queued.call.promptTokens() - grant.expectedCachedTokens());
    hold(queued, grant, uncached, nowMs);
  }

  void observe(RunningCall call, CallObservation seen, long nowMs) {
    running.seen(call, nowMs);
    if (seen.hasFirstToken()) {
      sawFirstToken(call, seen.timeToFirstTokenMs(), nowMs);
    }
    sawTokens(call, seen.outputTokens(), seen.streamingMs(), nowMs);
  }

  void end(RunningCall call, CallResult result, long nowMs) {
    if (result.timeToFirstTokenMs() >= 0) {
      sawFirstToken(call, result.timeToFirstTokenMs(), nowMs);
    }
    sawTokens(call, result.outputTokens(), result.streamingMs(), nowMs);
    long units = ServiceUnits.of(computedTokens(call, result), call.outputTokens);
    judgeEnding(call, result.ending(), nowMs);
    drop(call, units, nowMs);
    boolean stillRuns = running.contains(call.grant.call());
    if (result.ending() == CallEnding.PREEMPTED && !stillRuns) {
      call.queued.waitAgain(call.grant.endpoint(), nowMs);
      queues.add(call.queued);
      return;
    }
    programs.closed(call.queued, units, !stillRuns, nowMs);
  }

  /** Takes back slots whose VM has not been heard of for the expiry time; returns how many. */
  int expire(long nowMs) {
    List<RunningCall> silent = running.silentFor(limits.grantExpiryMs(), nowMs);
    for (RunningCall call : silent) {
      long units = ServiceUnits.of(0, call.outputTokens);
      drop(call, units, nowMs);
      programs.closed(call.queued, units, !running.contains(call.grant.call()), nowMs);
    }
    return silent.size();
  }

  /** Returns the request for a route; the wait is that of a call at the end of its class. */
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
    // Charged in advance, so that a team cannot take all slots before its first call ends.
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
    int cached = Math.max(result.cachedTokens(), call.grant.expectedCachedTokens());
    return Math.max(0, call.queued.call.promptTokens() - cached);
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
