package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.action.ActionTiming;
import io.magnoliaroute.core.action.ServiceCapabilities;
import io.magnoliaroute.core.program.ProgramView;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;

/**
 * An action that passed the checks of the partition owner and can be executed.
 *
 * @param view the program that requested the action
 * @param team the settings of the program's team
 * @param pool the settings of the service pool
 * @param content the operation and its arguments
 */
record ActionPlan(ProgramView view, TeamSettings team, PoolSettings pool, ActionContent content) {

  /**
   * Abandons an intent early enough before the deadline to read back the verdict on the abandon
   * record. Recovery starts only after the lease of the earlier owner has expired.
   */
  static final ActionTiming TIMING =
      new ActionTiming(300, 50, 200, Partitions.LEASE_MS + 500, 10_000);

  /** Returns whether both the settings and the caller allow repeated execution. */
  boolean idempotent() {
    return content.idempotent() && !pool.nonIdempotentOperations().contains(content.operation());
  }

  /** Returns the capabilities of the service that this action uses. */
  ServiceCapabilities capabilities() {
    return capabilities(pool);
  }

  /**
   * Returns the capabilities of a service pool. A pool counts as checking fencing tokens only if
   * all of its endpoints do.
   */
  static ServiceCapabilities capabilities(PoolSettings pool) {
    boolean checksFencingTokens =
        !pool.endpoints().isEmpty()
            && pool.endpoints().stream().allMatch(EndpointSettings::checksFencingToken);
    return new ServiceCapabilities(checksFencingTokens, pool.statusQuery());
  }
}
