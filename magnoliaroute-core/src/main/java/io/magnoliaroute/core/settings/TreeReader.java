package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Reads a whole tree. Pools are read before teams, because teams refer to them. */
final class TreeReader implements BranchContext {

  private final Findings findings;
  private final Map<PoolId, Optional<PoolKind>> poolKinds = new HashMap<>();
  private final Map<String, TeamId> teamsByTokenHash = new HashMap<>();
  private final Map<EndpointId, PoolId> poolsByEndpoint = new HashMap<>();

  TreeReader(Findings findings) {
    this.findings = findings;
  }

  SettingsTree read(Section section) {
    Map<PoolId, PoolSettings> readPools = new LinkedHashMap<>();
    section.forEachEntry(
        "pools",
        (name, entry) ->
            parseId("pools/" + name, entry, name, PoolId::new)
                .ifPresent(pool -> readPool(pool, entry, readPools)));
    Map<TeamId, TeamSettings> readTeams = new LinkedHashMap<>();
    section.forEachEntry(
        "teams",
        (name, entry) ->
            parseId("teams/" + name, entry, name, TeamId::new)
                .ifPresent(team -> readTeam(team, entry, readTeams)));
    Limits limits = section.section("limits", LimitsReader::read).orElse(Limits.defaults());
    return new SettingsTree(readTeams, readPools, limits);
  }

  private <T> Optional<T> parseId(
      String path, YamlNode.Entry entry, String name, Function<String, T> function) {
    try {
      return Optional.of(function.apply(name));
    } catch (IllegalArgumentException e) {
      findings.error(entry.line(), path, e.getMessage());
      return Optional.empty();
    }
  }

  private void readPool(PoolId pool, YamlNode.Entry entry, Map<PoolId, PoolSettings> readPools) {
    // A pool with errors still counts as existing for the teams that refer to it.
    poolKinds.put(pool, Optional.empty());
    Optional<PoolSettings> read = SettingsParser.parsePool(findings, pool, entry.value(), this);
    if (read.isEmpty()) {
      return;
    }
    poolKinds.put(pool, Optional.of(read.get().kind()));
    read.get().endpoints().forEach(endpoint -> poolsByEndpoint.putIfAbsent(endpoint.id(), pool));
    readPools.put(pool, read.get());
  }

  private void readTeam(TeamId team, YamlNode.Entry entry, Map<TeamId, TeamSettings> readTeams) {
    Optional<TeamSettings> read = SettingsParser.parseTeam(findings, team, entry.value(), this);
    if (read.isEmpty()) {
      return;
    }
    read.get().tokenHashes().forEach(hash -> teamsByTokenHash.putIfAbsent(hash, team));
    readTeams.put(team, read.get());
  }

  @Override
  public boolean hasPool(PoolId pool) {
    return poolKinds.containsKey(pool);
  }

  @Override
  public Optional<PoolKind> poolKind(PoolId pool) {
    return poolKinds.getOrDefault(pool, Optional.empty());
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
