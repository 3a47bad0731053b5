package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.gateway.check.RoutingTableCheck;
import io.magnoliaroute.core.gateway.check.RoutingTableDiff;
import io.magnoliaroute.core.settings.Finding;
import io.magnoliaroute.core.settings.Severity;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.RoutingTableDecoder;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Checks a routing configuration of the platform before it is published; contacts no server. */
@Command(
    name = "check-routing",
    description =
        "Checks a routing configuration for errors, entries that can never match and limits that"
            + " contradict each other, and compares it with the one in force")
public final class ConfigCheckRoutingCommand extends BaseCommand {

  @Option(
      name = {"--in-force"},
      title = "file",
      description = "the configuration in force, to list what changes")
  String inForceFile;

  @Required
  @Arguments(title = "file", description = "JSON file with the configuration")
  String file;

  @Override
  ExitCode run(Terminal terminal) throws CommandException {
    List<Finding> findings = new ArrayList<>();
    RoutingTable table = decode(file, findings);
    List<RoutingTableDiff.Change> changes = List.of();
    if (table != null) {
      findings.addAll(RoutingTableCheck.check(file, table));
      RoutingTable inForce = inForceFile == null ? null : decode(inForceFile, findings);
      if (inForce != null) {
        changes = RoutingTableDiff.between(inForce, table);
        checkVersion(inForce, table, findings);
      }
    }
    print(terminal, findings, changes);
    return findings.isEmpty() ? ExitCode.OK : ExitCode.FINDINGS;
  }

  private static RoutingTable decode(String name, List<Finding> findings) throws CommandException {
    try {
      return RoutingTableDecoder.decode(readFile(name).getBytes(StandardCharsets.UTF_8));
    } catch (PlatformFormatException | IllegalArgumentException e) {
      findings.add(new Finding(name, 0, "", e.getMessage(), Severity.ERROR));
      return null;
    }
  }

  private void checkVersion(RoutingTable inForce, RoutingTable table, List<Finding> findings) {
    if (table.version() <= inForce.version()) {
      findings.add(
          new Finding(
              file,
              0,
              "version",
              "version %d is not newer than %d, which is in force"
                  .formatted(table.version(), inForce.version()),
              Severity.ERROR));
    }
  }

  private static void print(
      Terminal terminal, List<Finding> findings, List<RoutingTableDiff.Change> changes) {
    terminal.printFindings(findings);
    if (terminal.isJson()) {
      JsonArray array = new JsonArray();
      for (RoutingTableDiff.Change change : changes) {
        array.add(
            new JsonObject()
                .put("path", change.path())
                .put("before", change.before())
                .put("after", change.after()));
      }
      terminal.out().println(new JsonObject().put("changes", array).encode());
      return;
    }
    for (RoutingTableDiff.Change change : changes) {
      terminal.out().println("changed: " + change.path());
      terminal.out().println("  in force: " + orNone(change.before()));
      terminal.out().println("  new:      " + orNone(change.after()));
    }
    terminal.out().println(findings.isEmpty() ? "ok" : "findings: " + findings.size());
  }

  private static String orNone(String value) {
    return value.isEmpty() ? "-" : value;
  }
}
