package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;

/**
 * Specifies a team of a workload.
 *
 * @param id the team
 * @param share its weight in fair sharing
 * @param urgentRateLimit the rate limit of its urgent calls
 */
record TeamSpec(TeamId id, int share, UrgentRation urgentRateLimit) {

  static TeamSpec of(String name, int share) {
    return new TeamSpec(new TeamId(name), share, new UrgentRation(120, 20));
  }
}
