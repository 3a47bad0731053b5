package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PoolId;
import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads and checks the settings of a team branch. */
final class TeamReader {

  private static final int DEFAULT_SHARE = 1;
  private static final int MAX_SHARE = 1_000;
  private static final long MAX_UNITS = 1_000_000_000_000_000L;
  private static final long MIN_PERIOD_MS = 60_000;
  private static final long MAX_PERIOD_MS = 366L * 24 * 3_600_000;
  private static final long MAX_DEADLINE_MS = 24L * 3_600_000;
  private static final int MAX_URGENT_CALLS = 1_000_000;
  private static final long MAX_TIMEOUT_MS = 24L * 3_600_000;
  private static final ProgramLimits DEFAULT_LIMITS =
      new ProgramLimits(100, 2_000_000, 5, 60_000, 900_000);
  private static final BudgetSettings PLACEHOLDER_BUDGET = new BudgetSettings(1, MIN_PERIOD_MS);
  private static final UrgentRation NO_URGENT_CALLS = new UrgentRation(0, 0);

  private final Findings findings;
  private final BranchContext context;
  private final TeamId team;

  TeamReader(Findings findings, BranchContext context, TeamId team) {
    this.findings = findings;
    this.context = context;
    this.team = team;
  }

  TeamSettings read(Section section) {
    List<String> hashes = section.values("token_hashes", this::uniqueTokenHash);
    if (!section.has("token_hashes")) {
      section.warning("token_hashes", "has no token, so nobody can use the team");
    }
    int share = section.intOrDefault("share", DEFAULT_SHARE, 1, MAX_SHARE);
    UrgentRation ration =
        section.section("urgent_ration", TeamReader::ration).orElse(NO_URGENT_CALLS);
    Map<String, ProgramDefaults> programs = programs(section, ration);
    BudgetSettings budget =
        section.requireSection("budget", this::budget).orElse(PLACEHOLDER_BUDGET);
    List<ToolRule> rules = toolRules(section);
    ProgramLimits limits = section.section("limits", TeamReader::limits).orElse(DEFAULT_LIMITS);
    return new TeamSettings(team, hashes, share, programs, ration, budget, rules, limits);
  }

  private String uniqueTokenHash(String text) {
    String hash = ValueParsers.tokenHash(text);
    Optional<TeamId> other =
        context.teamByTokenHash(hash).filter(otherTeam -> !otherTeam.equals(team));
    if (other.isPresent()) {
      throw new IllegalArgumentException("is a token of team " + other.get() + " too");
    }
    return hash;
  }

  private static UrgentRation ration(Section section) {
    return new UrgentRation(
        section.requireInt("calls_per_minute", 0, MAX_URGENT_CALLS),
        section.requireInt("burst_calls", 0, MAX_URGENT_CALLS));
  }

  private BudgetSettings budget(Section section) {
    return new BudgetSettings(
        section.requireLong("units_per_period", 1, MAX_UNITS),
        section.requireLong("period_ms", MIN_PERIOD_MS, MAX_PERIOD_MS));
  }

  private static ProgramLimits limits(Section section) {
    return new ProgramLimits(
        section.intOrDefault("max_turns", DEFAULT_LIMITS.maxTurns(), 1, 100_000),
        section.longOrDefault("max_tokens", DEFAULT_LIMITS.maxTokens(), 1, MAX_UNITS),
        section.intOrDefault("max_repeats", DEFAULT_LIMITS.maxRepeats(), 1, 100_000),
        section.longOrDefault("tool_timeout_ms", DEFAULT_LIMITS.toolTimeoutMs(), 1, MAX_TIMEOUT_MS),
        section.longOrDefault(
            "idle_timeout_ms", DEFAULT_LIMITS.idleTimeoutMs(), 1, MAX_TIMEOUT_MS));
  }

  private Map<String, ProgramDefaults> programs(Section section, UrgentRation ration) {
    Map<String, ProgramDefaults> programs = new LinkedHashMap<>();
    section.forEachEntry(
        "programs",
        (name, entry) -> {
          String path = section.pathOf("programs") + "/" + name;
          checkName(path, name, entry.line());
          Section.read(
                  findings,
                  path,
                  entry.value(),
                  programSection -> program(programSection, name, ration))
              .ifPresent(program -> programs.put(name, program));
        });
    return programs;
  }

  private void checkName(String path, String name, int line) {
    try {
      ValueParsers.operation(name);
    } catch (IllegalArgumentException e) {
      findings.error(line, path, e.getMessage());
    }
  }

  private static ProgramDefaults program(Section section, String name, UrgentRation ration) {
    PriorityClass priority =
        section.requireValue("priority", PriorityClass::ofWireName).orElse(PriorityClass.NORMAL);
    if (priority == PriorityClass.URGENT && ration.callsPerMinute() == 0) {
      section.warning("priority", "is urgent, but the team has no urgent_ration");
    }
    return new ProgramDefaults(
        name, priority, section.requireLong("deadline_ms", 1, MAX_DEADLINE_MS));
  }

  private List<ToolRule> toolRules(Section section) {
    Set<PoolId> services = new HashSet<>();
    return section.sections(
        "tool_rules",
        rule -> {
          Optional<PoolId> service = rule.requireValue("service", PoolId::new);
          service.ifPresent(pool -> checkService(rule, pool, services));
          List<String> operations = rule.values("operations", ValueParsers::operation);
          if (!rule.has("operations")) {
            rule.warning("operations", "allows no operation");
          }
          return new ToolRule(service.orElse(new PoolId("none")), Set.copyOf(operations));
        });
  }

  private void checkService(Section rule, PoolId pool, Set<PoolId> services) {
    if (!services.add(pool)) {
      rule.error("service", "has two tool rules: " + pool);
    }
    if (!context.hasPool(pool)) {
      rule.error("service", "names a pool that does not exist: " + pool);
    }
    if (context.poolKind(pool).filter(kind -> kind != PoolKind.SERVICE).isPresent()) {
      rule.error("service", "names a pool that is not a service: " + pool);
    }
  }
}
