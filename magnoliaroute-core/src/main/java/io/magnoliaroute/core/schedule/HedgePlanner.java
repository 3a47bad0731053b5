package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.route.EndpointBoard;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteChooser;
import io.magnoliaroute.core.route.RouteRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Chooses idempotent calls on slow endpoints that are sent a second time. */
final class HedgePlanner {

  /** A second attempt must be expected to take at most this part of what the first still takes. */
  private static final double MUST_TAKE_AT_MOST = 0.6;

  /** In a group that is nearly full a second attempt takes a slot that new work needs. */
  private static final double MAX_UTILISATION = 0.75;

  private final EndpointBoard board;
  private final RouteChooser chooser;
  private final GroupStatistics statistics;
  private final SlotLedger slots;

  HedgePlanner(
      EndpointBoard board, RouteChooser chooser, GroupStatistics statistics, SlotLedger slots) {
    this.board = board;
    this.chooser = chooser;
    this.statistics = statistics;
    this.slots = slots;
  }

  List<SlotGrant> plan(HedgePermission permission, long nowMs) {
    List<SlotGrant> made = new ArrayList<>();
    if (board.utilisation() > MAX_UTILISATION) {
      return made;
    }
    for (RunningCall candidate : List.copyOf(slots.running().all())) {
      if (!mayBeHedged(candidate)) {
        continue;
      }
      RouteRequest request = slots.routeRequest(candidate.queued);
      Optional<Placement> other = chooser.chooseOther(request, candidate.grant.endpoint(), nowMs);
      if (other.isEmpty() || !isFaster(candidate, other.get())) {
        continue;
      }
      if (!permission.tryAcquire(candidate.queued.call.team(), nowMs)) {
        continue;
      }
      made.add(slots.grant(candidate.queued, other.get(), true, nowMs));
    }
    return made;
  }

  private boolean mayBeHedged(RunningCall candidate) {
    return candidate.queued.call.idempotent()
        && !candidate.preemptionOrdered
        && board.isSlow(candidate.grant.endpoint())
        && !slots.running().isHedged(candidate.grant.call());
  }

  /** The more tokens an answer has, the fewer are expected to follow; a copy needs all again. */
  private boolean isFaster(RunningCall candidate, Placement other) {
    double expectedTokens = statistics.expectedOutputTokens(candidate.queued.served);
    double outputMs = expectedTokens * board.paceMs();
    double leftMs = outputMs * expectedTokens / (expectedTokens + candidate.outputTokens);
    double promptMs = board.promptMs(candidate.pendingTokens());
    double hereMs = (promptMs + leftMs) * board.slowness(candidate.grant.endpoint());
    double thereMs = chooser.promptCostMs(other.uncachedTokens()) + outputMs;
    thereMs *= board.slowness(other.endpoint());
    return thereMs <= MUST_TAKE_AT_MOST * hereMs;
  }
}
