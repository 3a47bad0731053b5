package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionTiming;
import io.magnoliaroute.core.action.ServiceCapabilities;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;

/**
 * An action that passed the checks of the partition owner.
 *
 * @param view the program
 * @param team the settings of its team
 * @param pool the service
 * @param content what to send
 */
record ActionPlan(ProgramView view, TeamSettings team, PoolSettings pool, ActionContent content) {

  /**
   * An intent is given up early enough for the verdict of the abandon; recovery waits out the lease
   * of the earlier owner.
   */
  static final ActionTiming TIMING =
      new ActionTiming(300, 50, 200, Partitions.LEASE_MS + 500, 10_000);

  /** Returns whether the operation may run twice, by the settings and by the caller. */
  boolean idempotent() {
    return content.idempotent() && !pool.nonIdempotentOperations().contains(content.operation());
  }

  ServiceCapabilities traits() {
    return traits(pool);
  }

  /** A pool checks fencing tokens only where all of its endpoints do. */
  static ServiceCapabilities traits(PoolSettings pool) {
    boolean checks =
        !pool.endpoints().isEmpty()
            && pool.endpoints().stream().allMatch(EndpointSettings::checksFencingToken);
    return new ServiceCapabilities(checks, pool.statusQuery());
  }
}
