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

/** Prints the events of a request from the decision logs of one or more VMs. */
@Command(
    name = "explain",
    description =
        "Prints, in time order, the log lines of a request and of its program, and the latest state"
            + " changes that its VM logged before the request ended")
public final class ExplainCommand extends BaseCommand {

  /** State changes logged up to this long before the start of a request are printed with it. */
  private static final long LOOKBACK_MS = 10_000;

  private static final int MAX_STATE_LINES = 12;

  @Required
  @Arguments(
      title = "id file",
      description = "the request id, then log files; - reads standard input")
  List<String> arguments = new ArrayList<>();

  @Override
  ExitCode run(Terminal terminal) throws CommandException {
    if (arguments.size() < 2) {
      throw new CommandException(ExitCode.USAGE, "give the id of a request and at least one file");
    }
    String id = arguments.get(0);
    List<JsonObject> lines = new ArrayList<>();
    for (String file : arguments.subList(1, arguments.size())) {
      readLines(file, lines);
    }
    lines.sort(Comparator.comparingLong(line -> line.getLong("at_ms", 0L)));
    List<JsonObject> requestLines =
        lines.stream().filter(line -> id.equals(line.getValue("request"))).toList();
    if (requestLines.isEmpty()) {
      throw new CommandException(ExitCode.FAILED, "no line names the request " + id);
    }
    printLines(terminal, selectLines(lines, requestLines));
    return ExitCode.OK;
  }

  private static List<JsonObject> selectLines(
      List<JsonObject> lines, List<JsonObject> requestLines) {
    JsonObject last = requestLines.get(requestLines.size() - 1);
    Object program = last.getValue("program", "");
    long fromMs =
        requestLines.get(0).getLong("at_ms", 0L) - last.getLong("took_ms", 0L) - LOOKBACK_MS;
    long toMs = last.getLong("at_ms", 0L);
    List<JsonObject> stateLines =
        lines.stream()
            .filter(line -> line.getValue("request") == null && line.getValue("program") == null)
            .filter(line -> Objects.equals(line.getValue("vm"), last.getValue("vm")))
            .filter(line -> isWithin(line, fromMs, toMs))
            .toList();
    List<JsonObject> latestStateLines =
        stateLines.subList(Math.max(0, stateLines.size() - MAX_STATE_LINES), stateLines.size());
    return lines.stream()
        .filter(
            line ->
                requestLines.contains(line)
                    || latestStateLines.contains(line)
                    || (!"".equals(program)
                        && program.equals(line.getValue("program"))
                        && isWithin(line, fromMs, toMs)))
        .toList();
  }

  private static boolean isWithin(JsonObject line, long fromMs, long toMs) {
    long atMs = line.getLong("at_ms", 0L);
    return atMs >= fromMs && atMs <= toMs;
  }

  private static void printLines(Terminal terminal, List<JsonObject> lines) {
    if (terminal.isJson()) {
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

  private static void readLines(String file, List<JsonObject> lines) throws CommandException {
    String text = file.equals("-") ? readStandardInput() : readFile(file);
    for (String line : text.split("\n", -1)) {
      parseDecision(line).ifPresent(lines::add);
    }
  }

  // A log file can also contain other output, such as JVM warnings, which is skipped.
  private static Optional<JsonObject> parseDecision(String line) {
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

  private static String readStandardInput() throws CommandException {
    try {
      return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new CommandException(ExitCode.FAILED, "standard input cannot be read");
    }
  }
}
