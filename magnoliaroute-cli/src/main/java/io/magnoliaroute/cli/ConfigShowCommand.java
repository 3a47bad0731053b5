package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonObject;

/** Shows the effective content of a branch. */
@Command(
    name = "show",
    description = "Prints the YAML of a branch; the version is printed to standard error")
public final class ConfigShowCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "branch", description = "the branch, such as teams/counter")
  String branch;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String name = ConfigCheckCommand.parseBranchName(branch).value();
    JsonObject response = get(client, "/admin/v1/config/" + ApiClient.encodePathSegment(name));
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.err().println("version " + response.getLong("version"));
      terminal.out().print(response.getString("yaml", ""));
    }
    return ExitCode.OK;
  }
}
