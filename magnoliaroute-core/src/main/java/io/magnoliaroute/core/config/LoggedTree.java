package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.Branch;
import io.magnoliaroute.core.settings.BranchContext;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.TeamSettings;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The latest branches by log order, with the indexes for the validation of new content. */
final class LoggedTree implements BranchContext {

  private final Map<BranchName, ParsedBranch> branches = new HashMap<>();
  private final Map<String, TeamId> teamsByTokenHash = new HashMap<>();
  private final Map<EndpointId, PoolId> poolsByEndpoint = new HashMap<>();
  private long highestVersion = ConfigState.ABSENT_VERSION;

  /** A branch with its parsed content, which is empty after a deletion. */
  record ParsedBranch(BranchEntry entry, Optional<Branch> content) {}

  Optional<ParsedBranch> get(BranchName branch) {
    return Optional.ofNullable(branches.get(branch));
  }

  long version(BranchName branch) {
    ParsedBranch existing = branches.get(branch);
    return existing == null ? ConfigState.ABSENT_VERSION : existing.entry().version();
  }

  long highestVersion() {
    return highestVersion;
  }

  Collection<ParsedBranch> all() {
    return branches.values();
  }

  void put(BranchEntry entry, Optional<Branch> content) {
    ParsedBranch previous = branches.put(entry.branch(), new ParsedBranch(entry, content));
    if (previous != null) {
      previous.content().ifPresent(this::removeFromIndexes);
    }
    content.ifPresent(this::addToIndexes);
    highestVersion = Math.max(highestVersion, entry.version());
  }

  private void addToIndexes(Branch branch) {
    if (branch instanceof TeamSettings team) {
      team.tokenHashes().forEach(hash -> teamsByTokenHash.put(hash, team.id()));
    } else if (branch instanceof PoolSettings pool) {
      pool.endpoints().forEach(endpoint -> poolsByEndpoint.put(endpoint.id(), pool.id()));
    }
  }

  private void removeFromIndexes(Branch branch) {
    if (branch instanceof TeamSettings team) {
      team.tokenHashes().forEach(hash -> teamsByTokenHash.remove(hash, team.id()));
    } else if (branch instanceof PoolSettings pool) {
      pool.endpoints().forEach(endpoint -> poolsByEndpoint.remove(endpoint.id(), pool.id()));
    }
  }

  /** Returns the teams whose tool rules refer to the pool, sorted by id. */
  List<TeamId> teamsUsing(PoolId pool) {
    return branches.values().stream()
        .flatMap(branch -> branch.content().stream())
        .filter(TeamSettings.class::isInstance)
        .map(TeamSettings.class::cast)
        .filter(team -> team.toolRules().stream().anyMatch(rule -> rule.service().equals(pool)))
        .map(TeamSettings::id)
        .sorted()
        .toList();
  }

  @Override
  public boolean hasPool(PoolId pool) {
    return pool(pool).isPresent();
  }

  @Override
  public Optional<PoolKind> poolKind(PoolId pool) {
    return pool(pool).map(PoolSettings::kind);
  }

  private Optional<PoolSettings> pool(PoolId pool) {
    return get(BranchName.of(pool)).flatMap(ParsedBranch::content).map(PoolSettings.class::cast);
  }

  @Override
  public Optional<TeamId> teamByTokenHash(String tokenHash) {
    return Optional.ofNullable(teamsByTokenHash.get(tokenHash));
  }

  @Override
  public Optional<PoolId> poolOfEndpoint(EndpointId endpoint) {
    return Optional.ofNullable(poolsByEndpoint.get(endpoint));
  }
}
