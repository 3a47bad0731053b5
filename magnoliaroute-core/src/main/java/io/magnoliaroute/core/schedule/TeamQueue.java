package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import java.util.TreeSet;

/** The waiting calls of one team in one class, with the service that the team has had. */
final class TeamQueue {

  final TeamId team;
  final TreeSet<QueuedCall> calls = new TreeSet<>(QueuedCall.BY_KEY);

  /** Service divided by share; the team with the least is served first. */
  double virtualService;

  TeamQueue(TeamId team) {
    this.team = team;
  }

  /** Returns the first call that is not parked, or null. */
  QueuedCall first(long dispatch) {
    for (QueuedCall call : calls) {
      if (!call.isParked(dispatch)) {
        return call;
      }
    }
    return null;
  }
}
