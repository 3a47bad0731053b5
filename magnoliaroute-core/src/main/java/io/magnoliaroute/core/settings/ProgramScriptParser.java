package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Parses the YAML of a program into a script and reports all findings at once. */
public final class ProgramScriptParser {

  private static final int MAX_CHARS = 1024 * 1024;
  private static final long MAX_DURATION_MS = 24L * 3_600_000;
  private static final int MAX_TOKENS = 1_000_000;
  private static final int DEFAULT_MAX_TOKENS = 512;

  private ProgramScriptParser() {}

  /**
   * Parses a program.
   *
   * @param file the file name shown in findings
   * @param yaml the content of the file
   */
  public static ParseResult<ProgramScript> parse(String file, String yaml) {
    Findings findings = new Findings(file);
    Optional<ProgramScript> script =
        new YamlReader(findings, "", MAX_CHARS)
            .read(yaml)
            .flatMap(root -> Section.read(findings, "", root, ProgramScriptParser::script));
    return SettingsParser.toResult(findings, script);
  }

  private static ProgramScript script(Section section) {
    Optional<String> kind = section.value("kind", ValueParsers::notBlank);
    Optional<PriorityClass> priority = section.value("class", PriorityClass::ofWireName);
    OptionalLong deadlineMs =
        section.has("deadline_ms")
            ? OptionalLong.of(section.requireLong("deadline_ms", 1, MAX_DURATION_MS))
            : OptionalLong.empty();
    List<ProgramScript.Step> steps =
        section.sections("steps", ProgramScriptParser::step).stream()
            .flatMap(Optional::stream)
            .toList();
    if (!section.has("steps")) {
      section.error("steps", "is missing");
    }
    return new ProgramScript(kind, priority, deadlineMs, steps);
  }

  private static Optional<ProgramScript.Step> step(Section section) {
    Optional<ProgramScript.Step> turn =
        section.section("model_turn", ProgramScriptParser::modelTurn);
    Optional<ProgramScript.Step> action = section.section("action", ProgramScriptParser::action);
    Optional<ProgramScript.Step> pause = section.section("pause", ProgramScriptParser::pause);
    Optional<ProgramScript.Step> subAgent =
        section.section(
            "sub_agent", scriptSection -> new ProgramScript.SubAgent(script(scriptSection)));
    if (section.size() != 1) {
      section.mappingError("must have exactly one of model_turn, action, pause and sub_agent");
    }
    return turn.or(() -> action).or(() -> pause).or(() -> subAgent);
  }

  private static ProgramScript.Step modelTurn(Section section) {
    return new ProgramScript.ModelTurn(
        section.requireValue("model", ValueParsers::notBlank).orElse(""),
        section.requireValue("prompt", ValueParsers::notBlank).orElse(""),
        section.intOrDefault("max_tokens", DEFAULT_MAX_TOKENS, 1, MAX_TOKENS));
  }

  private static ProgramScript.Step action(Section section) {
    return new ProgramScript.Action(
        section.requireValue("service", ValueParsers::notBlank).orElse(""),
        section.requireValue("operation", ValueParsers::operation).orElse(""),
        section.plainMap("arguments"),
        section.booleanOrDefault("idempotent", false),
        section.value("idempotency_key", ValueParsers::notBlank));
  }

  private static ProgramScript.Step pause(Section section) {
    return new ProgramScript.Pause(section.requireLong("duration_ms", 0, MAX_DURATION_MS));
  }
}
