package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting calls of one class. Teams share the class by weight; a team may run ahead of the team
 * with the least service by a bounded amount, inside which the order of calls decides. All
 * operations take time logarithmic in the number of calls.
 */
final class ClassQueue {

  /**
   * Service by which a team may run ahead. Smaller values make the shares exact over shorter times
   * and serve programs with much attained service of an idle team before new ones of a busy team.
   */
  private static final double AHEAD_UNITS = 4_000;

  /** Teams compared by the order of their first call; the rest wait for their share. */
  private static final int TEAMS_COMPARED = 8;

  private final Map<TeamId, TeamQueue> teams = new HashMap<>();
  private final TreeSet<TeamQueue> active =
      new TreeSet<>(
          Comparator.comparingDouble((TeamQueue t) -> t.virtualService).thenComparing(t -> t.team));
  private final TreeSet<QueuedCall> byArrival = new TreeSet<>(QueuedCall.BY_ARRIVAL);
  private double floor;

  int size() {
    return byArrival.size();
  }

  void add(QueuedCall queued) {
    byArrival.add(queued);
    TeamQueue team = teams.computeIfAbsent(queued.call.team(), TeamQueue::new);
    if (team.calls.isEmpty()) {
      // A team that was idle must not save up service.
      team.virtualService = Math.max(team.virtualService, floor);
      active.add(team);
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
      active.remove(team);
    }
    return true;
  }

  Iterable<QueuedCall> byArrival() {
    return byArrival;
  }

  /** Returns the oldest call that is not parked where it has waited for the bound, or null. */
  QueuedCall aged(long boundMs, long dispatch, long nowMs) {
    for (QueuedCall oldest : byArrival) {
      if (oldest.ageMs(nowMs) < boundMs) {
        return null;
      }
      if (!oldest.isParked(dispatch)) {
        return oldest;
      }
    }
    return null;
  }

  /** Returns the next call of the class that is not parked, or null. */
  QueuedCall next(long ageingBoundMs, long dispatch, long nowMs) {
    QueuedCall aged = aged(ageingBoundMs, dispatch, nowMs);
    return aged != null ? aged : bestOfTeams(dispatch);
  }

  /** Charges service to a team; a negative amount gives service back. */
  void charge(TeamId id, int share, double units) {
    TeamQueue team = teams.computeIfAbsent(id, TeamQueue::new);
    boolean waits = active.remove(team);
    team.virtualService = Math.max(0, team.virtualService + units / share);
    if (waits) {
      active.add(team);
    }
    if (!active.isEmpty()) {
      floor = Math.max(floor, active.first().virtualService);
    }
  }

  /** Forgets teams that wait for nothing and are owed nothing. */
  void forgetIdleTeams() {
    teams.values().removeIf(t -> t.calls.isEmpty() && t.virtualService <= floor);
  }

  private QueuedCall bestOfTeams(long dispatch) {
    if (active.isEmpty()) {
      return null;
    }
    double limit = active.first().virtualService + AHEAD_UNITS;
    QueuedCall best = null;
    int compared = 0;
    for (TeamQueue team : active) {
      if (best != null && (team.virtualService > limit || compared >= TEAMS_COMPARED)) {
        break;
      }
      compared++;
      QueuedCall first = team.first(dispatch);
      if (first != null && (best == null || QueuedCall.BY_KEY.compare(first, best) < 0)) {
        best = first;
      }
    }
    return best;
  }
}
