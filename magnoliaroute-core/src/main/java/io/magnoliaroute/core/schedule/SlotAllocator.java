package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.route.EndpointTable;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteRequest;
import java.util.List;

/**
 * Allocates and frees slots, and updates endpoint state, team charges, group statistics and program
 * totals accordingly.
 */
final class SlotAllocator {

  private final SchedulerLimits limits;
  private final EndpointTable endpoints;
  private final CallQueues queues;
  private final AcceptedPrograms programs;
  private final GroupStatistics statistics;
  private final RunningCalls running = new RunningCalls();
  private long lastGrantId;

  SlotAllocator(
      SchedulerLimits limits,
      EndpointTable endpoints,
      CallQueues queues,
      AcceptedPrograms programs,
      GroupStatistics statistics) {
    this.limits = limits;
    this.endpoints = endpoints;
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
    occupySlot(queued, grant, placement.uncachedTokens(), nowMs);
    if (!hedge) {
      programs.recordGranted(queued, nowMs);
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
    occupySlot(queued, grant, uncachedTokens, nowMs);
  }

  void observe(RunningCall call, CallObservation observation, long nowMs) {
    running.recordObservation(call, nowMs);
    if (observation.hasFirstToken()) {
      recordFirstToken(call, observation.timeToFirstTokenMs(), nowMs);
    }
    recordTokens(call, observation.outputTokens(), observation.streamingMs(), nowMs);
  }

  void end(RunningCall call, CallResult result, long nowMs) {
    if (result.timeToFirstTokenMs() >= 0) {
      recordFirstToken(call, result.timeToFirstTokenMs(), nowMs);
    }
    recordTokens(call, result.outputTokens(), result.streamingMs(), nowMs);
    long units = ServiceUnits.of(computedTokens(call, result), call.outputTokens);
    recordEnding(call, result.ending(), nowMs);
    freeSlot(call, units, nowMs);
    boolean runsElsewhere = running.contains(call.grant.call());
    if (result.ending() == CallEnding.PREEMPTED && !runsElsewhere) {
      call.queued.recordPreemption(call.grant.endpoint(), nowMs);
      queues.add(call.queued);
      return;
    }
    programs.recordRelease(call.queued, units, !runsElsewhere, nowMs);
  }

  /**
   * Reclaims the slots of grants without an observation for the expiry time and returns their
   * number.
   */
  int expire(long nowMs) {
    List<RunningCall> expired = running.findExpired(limits.grantExpiryMs(), nowMs);
    for (RunningCall call : expired) {
      long units = ServiceUnits.of(0, call.outputTokens);
      freeSlot(call, units, nowMs);
      programs.recordRelease(call.queued, units, !running.contains(call.grant.call()), nowMs);
    }
    return expired.size();
  }

  /**
   * Returns the route request for a call. Its queue wait is that of a call at the end of the same
   * class.
   */
  RouteRequest routeRequest(QueuedCall queued) {
    double slots = Math.max(1, endpoints.slotsAtLastHealthUpdate());
    double waitMs =
        queues.sizeOfClassAndHigher(queued.effectivePriority) * statistics.meanSlotMs() / slots;
    return new RouteRequest(
        queued.call.dataCentre(),
        queued.call.model(),
        queued.call.promptTokens(),
        queued.cachedPrefixTokens(),
        queued.call.avoidedEndpoints(),
        statistics.expectedOutputTokens(queued.effectivePriority),
        queued.isUrgent(),
        waitMs);
  }

  private void occupySlot(QueuedCall queued, SlotGrant grant, int uncachedTokens, long nowMs) {
    double outputTokens = statistics.expectedOutputTokens(queued.effectivePriority);
    RunningCall call = new RunningCall(queued, grant, uncachedTokens, outputTokens, nowMs);
    running.add(call);
    EndpointId endpoint = call.grant.endpoint();
    call.promptTokensAhead =
        endpoints.occupySlot(endpoint, call.queued.isUrgent(), call.uncachedTokens, nowMs);
    // Charged in advance so that a team cannot take all slots before its first call ends.
    queues.charge(call.queued, call.expectedUnits);
  }

  private void freeSlot(RunningCall call, long units, long nowMs) {
    running.remove(call);
    endpoints.freeSlot(call.grant.endpoint(), call.queued.isUrgent(), call.pendingTokens());
    queues.charge(call.queued, units - call.expectedUnits);
    statistics.recordRelease(call.queued.effectivePriority, call.heldMs(nowMs), units, nowMs);
  }

  private void recordEnding(RunningCall call, CallEnding ending, long nowMs) {
    if (ending == CallEnding.COMPLETED) {
      endpoints.recordCompletion(call.grant.endpoint(), nowMs);
      statistics.recordCompletion(call.queued.effectivePriority, call.outputTokens);
    }
    if (ending == CallEnding.FAILED) {
      endpoints.recordFailure(call.grant.endpoint());
    }
  }

  private static long computedTokens(RunningCall call, CallResult result) {
    if (!call.firstTokenReceived) {
      return 0;
    }
    int cachedTokens = Math.max(result.cachedTokens(), call.grant.expectedCachedTokens());
    return Math.max(0, call.queued.call.promptTokens() - cachedTokens);
  }

  private void recordFirstToken(RunningCall call, long timeToFirstTokenMs, long nowMs) {
    if (call.firstTokenReceived) {
      return;
    }
    call.firstTokenReceived = true;
    endpoints.recordFirstToken(
        call.grant.endpoint(),
        timeToFirstTokenMs,
        call.uncachedTokens,
        call.promptTokensAhead,
        nowMs);
  }

  private void recordTokens(RunningCall call, int outputTokens, long streamingMs, long nowMs) {
    int newTokens = outputTokens - call.outputTokens;
    if (newTokens <= 0) {
      return;
    }
    long spanMs = streamingMs - call.streamingMs;
    if (call.outputTokens > 0 && spanMs >= 0) {
      endpoints.recordTokens(call.grant.endpoint(), newTokens, spanMs, nowMs);
    }
    call.outputTokens = outputTokens;
    call.streamingMs = streamingMs;
  }
}
