package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointBoard;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteChooser;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Grants free slots to waiting calls. */
final class Dispatcher {

  /**
   * Maximum number of calls of one class that are deferred in one dispatch because waiting for a
   * full endpoint is cheaper. After that the slot is offered to the next class or stays free until
   * the next release. A higher limit costs time in each dispatch and withholds slots from the next
   * class that no call of this class uses.
   */
  private static final int MAX_PARKED = 4;

  private final CallQueues queues;
  private final EndpointBoard board;
  private final RouteChooser chooser;
  private final GroupStatistics statistics;
  private final SlotLedger slots;
  private long turn;
  private long dispatch;

  Dispatcher(
      CallQueues queues, EndpointBoard endpoints, GroupStatistics statistics, SlotLedger slots) {
    this.queues = queues;
    this.board = endpoints;
    this.chooser = new RouteChooser(endpoints);
    this.statistics = statistics;
    this.slots = slots;
  }

  RouteChooser chooser() {
    return chooser;
  }

  /**
   * Grants slots in order of priority class, taking windows, prefix affinity and endpoint health
   * into account.
   */
  List<SlotGrant> dispatchManaged(long nowMs) {
    List<SlotGrant> grants = new ArrayList<>();
    if (queues.size() == 0) {
      return grants;
    }
    dispatch++;
    chooser.startDispatch();
    for (PriorityClass priority : PriorityClass.values()) {
      if (queues.size(priority) > 0) {
        dispatchClass(priority, grants, nowMs);
      }
    }
    return grants;
  }

  /** Grants a slot to every call in order of arrival, ignoring windows, as a plain proxy does. */
  List<SlotGrant> dispatchUnlimited(boolean roundRobin, long nowMs) {
    List<SlotGrant> grants = new ArrayList<>();
    while (queues.size() > 0) {
      Optional<EndpointId> endpoint = roundRobin ? board.inTurn(turn++) : board.leastOutstanding();
      if (endpoint.isEmpty()) {
        return grants;
      }
      QueuedCall next = queues.next(PriorityClass.NORMAL, 1, nowMs);
      queues.remove(next.call.id());
      int cachedTokens = next.call.cachedPrefixTokensAt(endpoint.get());
      Placement placement =
          new Placement(endpoint.get(), false, next.call.promptTokens() - cachedTokens, false);
      grants.add(slots.grant(next, placement, false, nowMs));
    }
    return grants;
  }

  private void dispatchClass(PriorityClass priority, List<SlotGrant> grants, long nowMs) {
    boolean urgent = priority == PriorityClass.URGENT;
    int deferred = 0;
    while (deferred < MAX_PARKED && board.hasFreeSlot(urgent)) {
      boolean unreserved = board.hasFreeSlot(false);
      QueuedCall aged = unreserved ? queues.nextEscape(priority, dispatch, nowMs) : null;
      QueuedCall next = aged != null ? aged : queues.next(priority, dispatch, nowMs);
      if (next == null) {
        return;
      }
      SlotGrant grant = place(next, nowMs);
      if (grant == null) {
        next.park(dispatch);
        deferred++;
        continue;
      }
      grants.add(grant);
      if (unreserved) {
        queues.dispatched(aged != null);
      }
    }
  }

  private SlotGrant place(QueuedCall next, long nowMs) {
    Optional<Placement> placement =
        chooser.choose(slots.routeRequest(next), statistics.slotMs(), nowMs);
    if (placement.isEmpty() || placement.get().waits()) {
      return null;
    }
    queues.remove(next.call.id());
    return slots.grant(next, placement.get(), false, nowMs);
  }
}
