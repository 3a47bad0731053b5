package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;
import java.util.TreeSet;

/** Waiting calls of one team in one class, with the virtual service of the team. */
final class TeamQueue {

  final TeamId team;
  final TreeSet<QueuedCall> calls = new TreeSet<>(QueuedCall.BY_KEY);

  /** Service divided by share. The team with the least has precedence. */
  double virtualService;

  TeamQueue(TeamId team) {
    this.team = team;
  }

  /** Returns the first call that is not deferred, or null. */
  QueuedCall first(long dispatchNumber) {
    for (QueuedCall call : calls) {
      if (!call.isDeferredIn(dispatchNumber)) {
        return call;
      }
    }
    return null;
  }
}
