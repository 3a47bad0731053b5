package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonObject;

/** Shows the content of a branch in force. */
@Command(
    name = "show",
    description = "Prints the YAML of a branch; its version goes to the error stream")
public final class ConfigShowCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "branch", description = "the branch, such as teams/counter")
  String branch;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    String name = ConfigCheckCommand.branchName(branch).value();
    JsonObject reply = get(client, "/admin/v1/config/" + ApiClient.segment(name));
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      terminal.err().println("version " + reply.getLong("version"));
      terminal.out().print(reply.getString("yaml", ""));
    }
    return ExitCode.OK;
  }
}
