package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Prints the life of a request from the decision logs of one or more VMs. */
@Command(
    name = "explain",
    description =
        "Prints, in order of time, the log lines of a request, of its program, and the last beliefs"
            + " of the VM before it ended")
public final class ExplainCommand extends BaseCommand {

  /** Beliefs that changed this long before a request began are shown with it. */
  private static final long BEFORE_MS = 10_000;

  private static final int BELIEFS = 12;

  @Required
  @Arguments(title = "id file", description = "The request's id, then log files; - for input")
  List<String> words = new ArrayList<>();

  @Override
  ExitCode run(Terminal terminal) throws CommandFailure {
    if (words.size() < 2) {
      throw new CommandFailure(ExitCode.USAGE, "give the id of a request and at least one file");
    }
    String id = words.get(0);
    List<JsonObject> lines = new ArrayList<>();
    for (String file : words.subList(1, words.size())) {
      read(file, lines);
    }
    lines.sort(Comparator.comparingLong(line -> line.getLong("at_ms", 0L)));
    List<JsonObject> own =
        lines.stream().filter(line -> id.equals(line.getValue("request"))).toList();
    if (own.isEmpty()) {
      throw new CommandFailure(ExitCode.FAILED, "no line names the request " + id);
    }
    print(terminal, selected(lines, own));
    return ExitCode.OK;
  }

  private static List<JsonObject> selected(List<JsonObject> lines, List<JsonObject> own) {
    JsonObject last = own.get(own.size() - 1);
    Object program = last.getValue("program", "");
    long fromMs = own.get(0).getLong("at_ms", 0L) - last.getLong("took_ms", 0L) - BEFORE_MS;
    long toMs = last.getLong("at_ms", 0L);
    List<JsonObject> beliefs =
        lines.stream()
            .filter(line -> line.getValue("request") == null && line.getValue("program") == null)
            .filter(line -> Objects.equals(line.getValue("vm"), last.getValue("vm")))
            .filter(line -> isWithin(line, fromMs, toMs))
            .toList();
    List<JsonObject> newest =
        beliefs.subList(Math.max(0, beliefs.size() - BELIEFS), beliefs.size());
    return lines.stream()
        .filter(
            line ->
                own.contains(line)
                    || newest.contains(line)
                    || (!"".equals(program)
                        && program.equals(line.getValue("program"))
                        && isWithin(line, fromMs, toMs)))
        .toList();
  }

  private static boolean isWithin(JsonObject line, long fromMs, long toMs) {
    long atMs = line.getLong("at_ms", 0L);
    return atMs >= fromMs && atMs <= toMs;
  }

  private static void print(Terminal terminal, List<JsonObject> lines) {
    if (terminal.json()) {
      terminal.printJson(new JsonObject().put("lines", new JsonArray(new ArrayList<>(lines))));
      return;
    }
    long firstMs = lines.get(0).getLong("at_ms", 0L);
    for (JsonObject line : lines) {
      StringBuilder text = new StringBuilder();
      text.append(String.format("%8d ms  ", line.getLong("at_ms", 0L) - firstMs));
      text.append(line.getString("vm", "-")).append("  ").append(line.getString("event", "-"));
      for (Map.Entry<String, Object> field : line) {
        if (!List.of("at_ms", "vm", "event").contains(field.getKey())) {
          text.append("  ").append(field.getKey()).append('=').append(field.getValue());
        }
      }
      terminal.out().println(text);
    }
  }

  private static void read(String file, List<JsonObject> lines) throws CommandFailure {
    String text = file.equals("-") ? standardInput() : readFile(file);
    for (String line : text.split("\n", -1)) {
      decision(line).ifPresent(lines::add);
    }
  }

  // Lines of other writers, such as the runtime's warnings, are no decisions.
  private static Optional<JsonObject> decision(String line) {
    int brace = line.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonObject parsed = new JsonObject(line.substring(brace));
      boolean isDecision =
          parsed.getValue("event") instanceof String && parsed.getValue("at_ms") instanceof Number;
      return isDecision ? Optional.of(parsed) : Optional.empty();
    } catch (DecodeException e) {
      return Optional.empty();
    }
  }

  private static String standardInput() throws CommandFailure {
    try {
      return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.FAILED, "standard input cannot be read");
    }
  }
}
