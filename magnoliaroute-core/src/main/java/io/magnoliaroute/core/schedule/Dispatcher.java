package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.route.EndpointBoard;
import io.magnoliaroute.core.route.Placement;
import io.magnoliaroute.core.route.RouteChooser;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Gives free slots to waiting calls. */
final class Dispatcher {

  /**
   * Calls of one class that may decide to wait for their own endpoint in one dispatch, before the
   * slot goes to the next class or stays free until the next release. More of them cost time in
   * each dispatch and keep the next class from slots that no call of this class wants.
   */
  private static final int MAX_PARKED = 4;

  private final CallQueues queues;
  private final EndpointBoard board;
  private final RouteChooser chooser;
  private final GroupStatistics statistics;
  private final SlotLedger slots;
  private long turn;
  private long dispatch;

  Dispatcher(CallQueues queues, EndpointBoard board, GroupStatistics statistics, SlotLedger slots) {
    this.queues = queues;
    this.board = board;
    this.chooser = new RouteChooser(board);
    this.statistics = statistics;
    this.slots = slots;
  }

  RouteChooser chooser() {
    return chooser;
  }

  /** Grants in the order of classes, with windows, affinity and health. */
  List<SlotGrant> dispatchManaged(long nowMs) {
    List<SlotGrant> made = new ArrayList<>();
    if (queues.size() == 0) {
      return made;
    }
    dispatch++;
    chooser.startDispatch();
    for (PriorityClass priority : PriorityClass.values()) {
      if (queues.size(priority) > 0) {
        dispatchClass(priority, made, nowMs);
      }
    }
    return made;
  }

  /** Grants all calls in order of arrival without windows, as a plain proxy does. */
  List<SlotGrant> dispatchUnlimited(boolean inTurn, long nowMs) {
    List<SlotGrant> made = new ArrayList<>();
    while (queues.size() > 0) {
      Optional<EndpointId> endpoint = inTurn ? board.inTurn(turn++) : board.leastOutstanding();
      if (endpoint.isEmpty()) {
        return made;
      }
      QueuedCall next = queues.next(PriorityClass.NORMAL, 1, nowMs);
      queues.remove(next.call.id());
      int cached = next.call.cachedPrefixTokensAt(endpoint.get());
      Placement at = new Placement(endpoint.get(), false, next.call.promptTokens() - cached, false);
      made.add(slots.grant(next, at, false, nowMs));
    }
    return made;
  }

  private void dispatchClass(PriorityClass priority, List<SlotGrant> made, long nowMs) {
    boolean urgent = priority == PriorityClass.URGENT;
    int parked = 0;
    while (parked < MAX_PARKED && board.hasFreeSlot(urgent)) {
      boolean unreserved = board.hasFreeSlot(false);
      QueuedCall escaped = unreserved ? queues.nextEscape(priority, dispatch, nowMs) : null;
      QueuedCall next = escaped != null ? escaped : queues.next(priority, dispatch, nowMs);
      if (next == null) {
        return;
      }
      SlotGrant grant = place(next, nowMs);
      if (grant == null) {
        next.park(dispatch);
        parked++;
        continue;
      }
      made.add(grant);
      if (unreserved) {
        queues.dispatched(escaped != null);
      }
    }
  }

  private SlotGrant place(QueuedCall next, long nowMs) {
    Optional<Placement> at = chooser.choose(slots.routeRequest(next), statistics.slotMs(), nowMs);
    if (at.isEmpty() || at.get().waits()) {
      return null;
    }
    queues.remove(next.call.id());
    return slots.grant(next, at.get(), false, nowMs);
  }
}
