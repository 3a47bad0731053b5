package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;

/** Asks the retry budget whether a call may be sent a second time. */
@FunctionalInterface
public interface HedgePermission {

  /** Takes one retry from the budget of the team, or returns false where none is left. */
  boolean tryAcquire(TeamId team, long nowMs);
}
