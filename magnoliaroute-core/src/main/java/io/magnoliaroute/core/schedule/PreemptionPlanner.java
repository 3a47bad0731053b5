package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointBoard;
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
  private static final double CANCEL_MS = 30;

  private final CallQueues queues;
  private final EndpointBoard board;
  private final GroupStatistics statistics;
  private final RunningCalls running;

  PreemptionPlanner(
      CallQueues queues,
      EndpointBoard endpoints,
      GroupStatistics statistics,
      RunningCalls running) {
    this.queues = queues;
    this.board = endpoints;
    this.statistics = statistics;
    this.running = running;
  }

  List<Preemption> plan() {
    List<Preemption> planned = new ArrayList<>();
    if (queues.size(PriorityClass.URGENT) == 0 || board.hasFreeSlot(true)) {
      return planned;
    }
    long pendingPreemptions = running.all().stream().filter(r -> r.preemptionOrdered).count();
    int position = 0;
    for (QueuedCall urgent : queues.waiting(PriorityClass.URGENT)) {
      position++;
      if (position <= pendingPreemptions) {
        continue;
      }
      RunningCall victim = cheapestVictim(expectedWaitMs(position) - CANCEL_MS);
      if (victim == null) {
        break;
      }
      victim.preemptionOrdered = true;
      SlotGrant grant = victim.grant;
      planned.add(
          new Preemption(grant.call(), grant.grantId(), grant.endpoint(), urgent.call.id()));
    }
    return planned;
  }

  private double expectedWaitMs(int position) {
    return position * statistics.slotMs() / Math.max(1, running.size());
  }

  private RunningCall cheapestVictim(double savedMs) {
    RunningCall best = null;
    double bestCostMs = savedMs;
    for (RunningCall candidate : running.all()) {
      if (!mayBeCancelled(candidate)) {
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

  private boolean mayBeCancelled(RunningCall candidate) {
    return candidate.queued.served == PriorityClass.BULK
        && candidate.queued.call.idempotent()
        && !candidate.preemptionOrdered
        && !board.isSlow(candidate.grant.endpoint());
  }

  /**
   * Returns the expected time to resume the call elsewhere or later. The engine keeps the prompt in
   * its cache, so only the generated tokens and the prompt tokens not yet computed must be
   * computed.
   */
  private double resumeMs(RunningCall candidate) {
    return board.promptMs(candidate.outputTokens + candidate.pendingTokens());
  }
}
