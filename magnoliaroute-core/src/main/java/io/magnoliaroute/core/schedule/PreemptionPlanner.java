package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointTable;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects bulk streams to cancel if an urgent call would otherwise wait longer than it takes to
 * resume the stream.
 */
final class PreemptionPlanner {

  /**
   * Expected time from the request to the free slot: one message each way and the remainder of a
   * token-batch step.
   */
  private static final double CANCEL_DELAY_MS = 30;

  private final CallQueues queues;
  private final EndpointTable endpoints;
  private final GroupStatistics statistics;
  private final RunningCalls running;

  PreemptionPlanner(
      CallQueues queues,
      EndpointTable endpoints,
      GroupStatistics statistics,
      RunningCalls running) {
    this.queues = queues;
    this.endpoints = endpoints;
    this.statistics = statistics;
    this.running = running;
  }

  List<Preemption> plan() {
    List<Preemption> planned = new ArrayList<>();
    if (queues.size(PriorityClass.URGENT) == 0 || endpoints.hasFreeSlot(true)) {
      return planned;
    }
    long pendingPreemptions = running.all().stream().filter(r -> r.preemptionRequested).count();
    int position = 0;
    for (QueuedCall urgent : queues.waiting(PriorityClass.URGENT)) {
      position++;
      if (position <= pendingPreemptions) {
        continue;
      }
      RunningCall victim = cheapestVictim(expectedWaitMs(position) - CANCEL_DELAY_MS);
      if (victim == null) {
        break;
      }
      victim.preemptionRequested = true;
      SlotGrant grant = victim.grant;
      planned.add(
          new Preemption(grant.call(), grant.grantId(), grant.endpoint(), urgent.call.id()));
    }
    return planned;
  }

  private double expectedWaitMs(int position) {
    return position * statistics.meanSlotMs() / Math.max(1, running.size());
  }

  private RunningCall cheapestVictim(double savedMs) {
    RunningCall best = null;
    double bestCostMs = savedMs;
    for (RunningCall candidate : running.all()) {
      if (!mayBePreempted(candidate)) {
        continue;
      }
      double costMs = resumeMs(candidate);
      if (costMs < bestCostMs) {
        best = candidate;
        bestCostMs = costMs;
      }
    }
    return best;
  }

  private boolean mayBePreempted(RunningCall candidate) {
    return candidate.queued.effectivePriority == PriorityClass.BULK
        && candidate.queued.call.idempotent()
        && !candidate.preemptionRequested
        && !endpoints.isSlow(candidate.grant.endpoint());
  }

  /**
   * Returns the expected time to resume the call elsewhere or later. The engine keeps the prompt in
   * its cache, so only the generated tokens and the prompt tokens not yet computed must be
   * computed.
   */
  private double resumeMs(RunningCall candidate) {
    return endpoints.promptMs(candidate.outputTokens + candidate.pendingTokens());
  }
}
