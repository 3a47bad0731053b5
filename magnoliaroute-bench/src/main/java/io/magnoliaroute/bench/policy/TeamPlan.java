package io.magnoliaroute.bench.policy;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.UrgentRation;

/**
 * A team of a workload.
 *
 * @param id the team
 * @param share its weight
 * @param urgentRation its ration
 */
record TeamPlan(TeamId id, int share, UrgentRation urgentRation) {

  static TeamPlan of(String name, int share) {
    return new TeamPlan(new TeamId(name), share, new UrgentRation(120, 20));
  }
}
