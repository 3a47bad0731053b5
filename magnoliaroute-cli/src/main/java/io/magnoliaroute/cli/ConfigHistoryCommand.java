package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.List;

/** Shows the last versions of a branch. */
@Command(name = "history", description = "Lists the last versions of a branch, newest first")
public final class ConfigHistoryCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "branch", description = "the branch, such as teams/counter")
  String branch;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    String name = ConfigCheckCommand.branchName(branch).value();
    JsonObject reply = get(client, "/admin/v1/config/" + ApiClient.segment(name) + "/history");
    if (terminal.json()) {
      terminal.printJson(reply);
      return ExitCode.OK;
    }
    JsonArray versions = reply.getJsonArray("versions", new JsonArray());
    for (int i = 0; i < versions.size(); i++) {
      JsonObject version = versions.getJsonObject(i);
      version.put("time", Instant.ofEpochMilli(version.getLong("time_ms", 0L)).toString());
    }
    terminal.printTable(List.of("version", "time", "author"), versions);
    return ExitCode.OK;
  }
}
