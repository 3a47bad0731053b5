package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointTable;
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
  private static final int MAX_DEFERRED = 4;

  private final CallQueues queues;
  private final EndpointTable endpoints;
  private final RouteChooser chooser;
  private final GroupStatistics statistics;
  private final SlotAllocator slots;
  private long nextRoundRobinIndex;
  private long dispatchNumber;

  Dispatcher(
      CallQueues queues, EndpointTable endpoints, GroupStatistics statistics, SlotAllocator slots) {
    this.queues = queues;
    this.endpoints = endpoints;
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
    dispatchNumber++;
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
      Optional<EndpointId> endpoint =
          roundRobin ? endpoints.roundRobin(nextRoundRobinIndex++) : endpoints.leastOutstanding();
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
    while (deferred < MAX_DEFERRED && endpoints.hasFreeSlot(urgent)) {
      boolean unreserved = endpoints.hasFreeSlot(false);
      QueuedCall aged =
          unreserved ? queues.nextAgedOfLowerClass(priority, dispatchNumber, nowMs) : null;
      QueuedCall next = aged != null ? aged : queues.next(priority, dispatchNumber, nowMs);
      if (next == null) {
        return;
      }
      SlotGrant grant = place(next, nowMs);
      if (grant == null) {
        next.deferIn(dispatchNumber);
        deferred++;
        continue;
      }
      grants.add(grant);
      if (unreserved) {
        queues.recordDispatch(aged != null);
      }
    }
  }

  private SlotGrant place(QueuedCall next, long nowMs) {
    Optional<Placement> placement =
        chooser.choose(slots.routeRequest(next), statistics.meanSlotMs(), nowMs);
    if (placement.isEmpty() || placement.get().waitForSlot()) {
      return null;
    }
    queues.remove(next.call.id());
    return slots.grant(next, placement.get(), false, nowMs);
  }
}
