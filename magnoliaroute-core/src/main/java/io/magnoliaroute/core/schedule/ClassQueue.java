package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Waiting calls of one priority class, with weighted fair queueing between teams. The virtual
 * service of a team may exceed that of the team with the least by a bounded amount; within this
 * bound the order key of the calls decides. All operations take time logarithmic in the number of
 * calls.
 */
final class ClassQueue {

  /**
   * Virtual service by which a team may exceed the team with the least. Smaller values make the
   * shares exact over shorter times, but serve programs with much attained service of an idle team
   * before new programs of a busy team.
   */
  private static final double MAX_LEAD_UNITS = 4_000;

  /**
   * Maximum number of teams whose first calls are compared by order key, starting with the team
   * with the least virtual service.
   */
  private static final int MAX_TEAMS_COMPARED = 8;

  private final Map<TeamId, TeamQueue> teams = new HashMap<>();
  private final TreeSet<TeamQueue> activeTeams =
      new TreeSet<>(
          Comparator.comparingDouble((TeamQueue t) -> t.virtualService).thenComparing(t -> t.team));
  private final TreeSet<QueuedCall> byArrival = new TreeSet<>(QueuedCall.BY_ARRIVAL);
  private double minVirtualService;

  int size() {
    return byArrival.size();
  }

  void add(QueuedCall queued) {
    byArrival.add(queued);
    TeamQueue team = teams.computeIfAbsent(queued.call.team(), TeamQueue::new);
    if (team.calls.isEmpty()) {
      // An idle team must not accumulate unused service.
      team.virtualService = Math.max(team.virtualService, minVirtualService);
      activeTeams.add(team);
    }
    team.calls.add(queued);
  }

  boolean remove(QueuedCall queued) {
    if (!byArrival.remove(queued)) {
      return false;
    }
    TeamQueue team = teams.get(queued.call.team());
    team.calls.remove(queued);
    if (team.calls.isEmpty()) {
      activeTeams.remove(team);
    }
    return true;
  }

  Iterable<QueuedCall> byArrival() {
    return byArrival;
  }

  /** Returns the oldest call that has reached the ageing bound and is not deferred, or null. */
  QueuedCall oldestAged(long ageingBoundMs, long dispatchNumber, long nowMs) {
    for (QueuedCall queued : byArrival) {
      if (queued.ageMs(nowMs) < ageingBoundMs) {
        return null;
      }
      if (!queued.isDeferredIn(dispatchNumber)) {
        return queued;
      }
    }
    return null;
  }

  /** Returns the next call of the class that is not deferred, or null. */
  QueuedCall next(long ageingBoundMs, long dispatchNumber, long nowMs) {
    QueuedCall aged = oldestAged(ageingBoundMs, dispatchNumber, nowMs);
    return aged != null ? aged : firstByOrderKey(dispatchNumber);
  }

  /** Charges service to a team; a negative amount is a refund. */
  void charge(TeamId id, int share, double units) {
    TeamQueue team = teams.computeIfAbsent(id, TeamQueue::new);
    boolean wasActive = activeTeams.remove(team);
    team.virtualService = Math.max(0, team.virtualService + units / share);
    if (wasActive) {
      activeTeams.add(team);
    }
    if (!activeTeams.isEmpty()) {
      minVirtualService = Math.max(minVirtualService, activeTeams.first().virtualService);
    }
  }

  /**
   * Removes teams without waiting calls whose virtual service does not exceed the minimum, so that
   * no charge is lost.
   */
  void removeIdleTeams() {
    teams.values().removeIf(t -> t.calls.isEmpty() && t.virtualService <= minVirtualService);
  }

  private QueuedCall firstByOrderKey(long dispatchNumber) {
    if (activeTeams.isEmpty()) {
      return null;
    }
    double maxVirtualService = activeTeams.first().virtualService + MAX_LEAD_UNITS;
    QueuedCall best = null;
    int compared = 0;
    for (TeamQueue team : activeTeams) {
      if (best != null
          && (team.virtualService > maxVirtualService || compared >= MAX_TEAMS_COMPARED)) {
        break;
      }
      compared++;
      QueuedCall first = team.first(dispatchNumber);
      if (first != null && (best == null || QueuedCall.BY_KEY.compare(first, best) < 0)) {
        best = first;
      }
    }
    return best;
  }
}
