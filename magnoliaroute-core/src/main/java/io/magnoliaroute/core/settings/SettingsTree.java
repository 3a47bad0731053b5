package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Map;

/**
 * A whole settings tree: one branch for each team, one for each pool and one for the limits.
 *
 * @param teams the teams by id
 * @param pools the pools by id
 * @param limits the limits that apply to every VM
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
