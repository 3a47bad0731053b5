package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.TeamId;
import java.util.List;
import java.util.Map;

/**
 * The settings of one team, the branch {@code teams/<name>}.
 *
 * @param id the id of the team
 * @param tokenHashes the SHA-256 hash of each token of the team, in hexadecimal
 * @param share the weight of the team in the division of capacity between teams
 * @param programs the defaults for each kind of program, by name
 * @param urgentRation the rate limit of urgent calls
 * @param budget the token budget
 * @param toolRules the services and operations that the team may call
 * @param limits the limits that apply to each program
 */
public record TeamSettings(
    TeamId id,
    List<String> tokenHashes,
    int share,
    Map<String, ProgramDefaults> programs,
    UrgentRation urgentRation,
    BudgetSettings budget,
    List<ToolRule> toolRules,
    ProgramLimits limits)
    implements Branch {

  /** Copies the collections. */
  public TeamSettings {
    tokenHashes = List.copyOf(tokenHashes);
    programs = Map.copyOf(programs);
    toolRules = List.copyOf(toolRules);
  }
}
