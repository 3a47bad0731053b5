package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointBoard;
import java.util.ArrayList;
import java.util.List;

/** Chooses bulk streams to cancel, where an urgent call would wait longer than that costs. */
final class PreemptionPlanner {

  /** From the order to the free slot: a message each way and the rest of a token-batch step. */
  private static final double CANCEL_MS = 30;

  private final CallQueues queues;
  private final EndpointBoard board;
  private final GroupStatistics statistics;
  private final RunningCalls running;

  PreemptionPlanner(
      CallQueues queues, EndpointBoard board, GroupStatistics statistics, RunningCalls running) {
    this.queues = queues;
    this.board = board;
    this.statistics = statistics;
    this.running = running;
  }

  List<Preemption> plan() {
    List<Preemption> planned = new ArrayList<>();
    if (queues.size(PriorityClass.URGENT) == 0 || board.hasFreeSlot(true)) {
      return planned;
    }
    long ordered = running.all().stream().filter(r -> r.preemptionOrdered).count();
    int position = 0;
    for (QueuedCall urgent : queues.waiting(PriorityClass.URGENT)) {
      position++;
      if (position <= ordered) {
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

  /** The engine keeps the prompt in its cache, so what was generated is computed again. */
  private double resumeMs(RunningCall candidate) {
    return board.promptMs(candidate.outputTokens + candidate.pendingTokens());
  }
}
