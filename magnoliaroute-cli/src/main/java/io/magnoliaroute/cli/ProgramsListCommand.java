package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the live programs with their state and token usage. */
@Command(name = "list", description = "Lists the live programs")
public final class ProgramsListCommand extends ServerCommand {

  private static final List<String> COLUMNS =
      List.of("program", "team", "class", "state", "turns", "tokens", "running");

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    JsonObject response = get(client, "/v1/programs");
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.printTable(COLUMNS, response.getJsonArray("programs", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
