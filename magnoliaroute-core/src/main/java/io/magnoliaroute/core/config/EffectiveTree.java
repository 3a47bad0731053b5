package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.Branch;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.Limits;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.SettingsTree;
import io.magnoliaroute.core.settings.TeamSettings;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The newest version of each branch received from log or peers; versions never decrease. */
final class EffectiveTree {

  private final Map<BranchName, BranchEntry> entries = new HashMap<>();
  private final Map<TeamId, TeamSettings> teams = new HashMap<>();
  private final Map<PoolId, PoolSettings> pools = new HashMap<>();
  private Limits limits = Limits.defaults();
  private SettingsTree cachedTree = SettingsTree.empty();
  private boolean stale;

  long version(BranchName branch) {
    BranchEntry entry = entries.get(branch);
    return entry == null ? ConfigState.ABSENT_VERSION : entry.version();
  }

  Optional<BranchEntry> get(BranchName branch) {
    return Optional.ofNullable(entries.get(branch));
  }

  Collection<BranchEntry> all() {
    return entries.values();
  }

  /**
   * Replaces the branch if the entry is newer.
   *
   * @param content the parsed branch; if empty although the entry is not a deletion, this release
   *     cannot parse the content and the previous content remains effective
   * @return whether the entry was newer
   */
  boolean updateIfNewer(BranchEntry entry, Optional<Branch> content) {
    if (entry.version() <= version(entry.branch())) {
      return false;
    }
    entries.put(entry.branch(), entry);
    if (content.isPresent()) {
      put(content.get());
    } else if (entry.isDeleted()) {
      remove(entry.branch());
    }
    stale = true;
    return true;
  }

  private void put(Branch content) {
    if (content instanceof TeamSettings team) {
      teams.put(team.id(), team);
    } else if (content instanceof PoolSettings pool) {
      pools.put(pool.id(), pool);
    } else if (content instanceof Limits newLimits) {
      limits = newLimits;
    }
  }

  private void remove(BranchName branch) {
    switch (branch.kind()) {
      case TEAM -> teams.remove(branch.team());
      case POOL -> pools.remove(branch.pool());
      case LIMITS -> limits = Limits.defaults();
      default -> throw new IllegalStateException("unknown branch kind: " + branch);
    }
  }

  SettingsTree tree() {
    if (stale) {
      cachedTree = new SettingsTree(teams, pools, limits);
      stale = false;
    }
    return cachedTree;
  }
}
