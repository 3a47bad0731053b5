package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.TeamId;

/** Permission from the retry budget to send a call a second time. */
@FunctionalInterface
public interface HedgePermission {

  /** Takes one retry from the budget of the team; returns false if none is left. */
  boolean tryAcquire(TeamId team, long nowMs);
}
