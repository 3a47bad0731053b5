package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.TeamId;
import java.util.List;
import java.util.Map;

/**
 * One team, the branch {@code teams/<name>}.
 *
 * @param id the team
 * @param tokenHashes SHA-256 of each token of the team, in hexadecimal
 * @param share the weight of the team where teams share capacity
 * @param programs the kinds of program, by name
 * @param urgentRation the ration of urgent calls
 * @param budget the budget
 * @param toolRules the services that the team may call
 * @param limits the limits of each program
 */
public record TeamSettings(
    TeamId id,
    List<String> tokenHashes,
    int share,
    Map<String, ProgramSettings> programs,
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
