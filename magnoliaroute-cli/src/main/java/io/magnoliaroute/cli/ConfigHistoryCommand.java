package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.List;

/** Lists the most recent versions of a branch, newest first. */
@Command(name = "history", description = "Lists the most recent versions of a branch, newest first")
public final class ConfigHistoryCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "branch", description = "the branch, such as teams/counter")
  String branch;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String name = ConfigCheckCommand.parseBranchName(branch).value();
    JsonObject response =
        get(client, "/admin/v1/config/" + ApiClient.encodePathSegment(name) + "/history");
    if (terminal.isJson()) {
      terminal.printJson(response);
      return ExitCode.OK;
    }
    JsonArray versions = response.getJsonArray("versions", new JsonArray());
    for (int i = 0; i < versions.size(); i++) {
      JsonObject version = versions.getJsonObject(i);
      version.put("time", Instant.ofEpochMilli(version.getLong("time_ms", 0L)).toString());
    }
    terminal.printTable(List.of("version", "time", "author"), versions);
    return ExitCode.OK;
  }
}
