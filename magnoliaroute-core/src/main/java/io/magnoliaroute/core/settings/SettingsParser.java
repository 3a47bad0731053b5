package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.TeamId;
import java.util.Optional;

/** Parses the YAML of one branch or of a whole tree and reports all findings at once. */
public final class SettingsParser {

  /** The maximum length of a branch; a pool of 500 endpoints takes about 100,000 characters. */
  public static final int MAX_BRANCH_CHARS = 512 * 1024;

  /** The maximum length of a tree; 9,200 teams take about 10 million characters. */
  public static final int MAX_TREE_CHARS = 32 * 1024 * 1024;

  private SettingsParser() {}

  /** Parses a branch on its own, without checking its references to other branches. */
  public static ParseResult<Branch> parseBranch(String file, BranchName name, String yaml) {
    return parseBranch(file, name, yaml, BranchContext.unchecked());
  }

  /**
   * Parses a branch and checks its references to other branches.
   *
   * @param file the name shown in findings
   * @param name the branch; the paths of findings start with it
   * @param yaml the content
   * @param context the other branches
   */
  public static ParseResult<Branch> parseBranch(
      String file, BranchName name, String yaml, BranchContext context) {
    Findings findings = new Findings(file);
    Optional<Branch> branch =
        new YamlReader(findings, name.value(), MAX_BRANCH_CHARS)
            .read(yaml)
            .flatMap(root -> parseBranchNode(findings, name, root, context));
    return toResult(findings, branch);
  }

  /** Parses a whole tree with the keys {@code teams}, {@code pools} and {@code limits}. */
  public static ParseResult<SettingsTree> parseTree(String file, String yaml) {
    Findings findings = new Findings(file);
    Optional<SettingsTree> tree =
        new YamlReader(findings, "", MAX_TREE_CHARS)
            .read(yaml)
            .flatMap(root -> Section.read(findings, "", root, new TreeReader(findings)::read));
    return toResult(findings, tree);
  }

  static Optional<Branch> parseBranchNode(
      Findings findings, BranchName name, YamlNode node, BranchContext context) {
    return switch (name.kind()) {
      case TEAM -> parseTeam(findings, name.team(), node, context).map(team -> team);
      case POOL -> parsePool(findings, name.pool(), node, context).map(pool -> pool);
      case LIMITS ->
          Section.read(findings, name.value(), node, LimitsReader::read).map(limits -> limits);
    };
  }

  static Optional<TeamSettings> parseTeam(
      Findings findings, TeamId team, YamlNode node, BranchContext context) {
    TeamReader reader = new TeamReader(findings, context, team);
    return Section.read(findings, BranchName.of(team).value(), node, reader::read);
  }

  static Optional<PoolSettings> parsePool(
      Findings findings, PoolId pool, YamlNode node, BranchContext context) {
    PoolReader reader = new PoolReader(context, pool);
    return Section.read(findings, BranchName.of(pool).value(), node, reader::read);
  }

  static <T> ParseResult<T> toResult(Findings findings, Optional<T> value) {
    return new ParseResult<>(findings.hasErrors() ? Optional.empty() : value, findings.sorted());
  }
}
