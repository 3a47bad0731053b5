package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.route.EndpointTable;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteChooser;
import io.magnoliaroute.core.route.RouteRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Selects idempotent calls on slow endpoints to send a second time. */
final class HedgePlanner {

  /**
   * Maximum expected duration of the second attempt as a share of the expected remaining duration
   * of the first.
   */
  private static final double MAX_RELATIVE_DURATION = 0.6;

  /**
   * Maximum utilisation of the group for hedging; above it, second attempts would take slots that
   * new calls need.
   */
  private static final double MAX_UTILISATION = 0.75;

  private final EndpointTable endpoints;
  private final RouteChooser chooser;
  private final GroupStatistics statistics;
  private final SlotAllocator slots;

  HedgePlanner(
      EndpointTable endpoints,
      RouteChooser chooser,
      GroupStatistics statistics,
      SlotAllocator slots) {
    this.endpoints = endpoints;
    this.chooser = chooser;
    this.statistics = statistics;
    this.slots = slots;
  }

  List<SlotGrant> plan(HedgePermission permission, long nowMs) {
    List<SlotGrant> grants = new ArrayList<>();
    if (endpoints.utilisation() > MAX_UTILISATION) {
      return grants;
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
      grants.add(slots.grant(candidate.queued, other.get(), true, nowMs));
    }
    return grants;
  }

  private boolean mayBeHedged(RunningCall candidate) {
    return candidate.queued.call.idempotent()
        && !candidate.preemptionRequested
        && endpoints.isSlow(candidate.grant.endpoint())
        && !slots.running().isHedged(candidate.grant.call());
  }

  /**
   * Returns whether a second attempt is expected to complete sufficiently earlier. The more tokens
   * the response already has, the fewer are expected to follow, whereas the second attempt
   * generates all of them.
   */
  private boolean isFaster(RunningCall candidate, Placement other) {
    double expectedTokens = statistics.expectedOutputTokens(candidate.queued.effectivePriority);
    double outputMs = expectedTokens * endpoints.interTokenMs();
    double remainingOutputMs =
        outputMs * expectedTokens / (expectedTokens + candidate.outputTokens);
    double promptMs = endpoints.promptMs(candidate.pendingTokens());
    double currentMs =
        (promptMs + remainingOutputMs) * endpoints.slowdown(candidate.grant.endpoint());
    double otherMs = chooser.promptCostMs(other.uncachedTokens()) + outputMs;
    otherMs *= endpoints.slowdown(other.endpoint());
    return otherMs <= MAX_RELATIVE_DURATION * currentMs;
  }
}
