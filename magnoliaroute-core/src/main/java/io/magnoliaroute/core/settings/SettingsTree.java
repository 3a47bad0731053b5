package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Map;

/**
 * The whole settings tree in force: one branch for each team, one for each pool, one for limits.
 */
public record SettingsTree(
    Map<TeamId, TeamSettings> teams, Map<PoolId, PoolSettings> pools, Limits limits) {

  /** Copies the maps. */
  public SettingsTree {
    teams = Map.copyOf(teams);
    pools = Map.copyOf(pools);
  }

  /** Returns a tree without teams and pools and with default limits. */
  public static SettingsTree empty() {
    return new SettingsTree(Map.of(), Map.of(), Limits.defaults());
  }
}
