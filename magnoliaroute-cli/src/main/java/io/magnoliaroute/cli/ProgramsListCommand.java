package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the live programs. */
@Command(name = "list", description = "Lists the live programs")
public final class ProgramsListCommand extends ServerCommand {

  private static final List<String> COLUMNS =
      List.of("program", "team", "class", "state", "turns", "tokens", "running");

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    JsonObject reply = get(client, "/v1/programs");
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      terminal.printTable(COLUMNS, reply.getJsonArray("programs", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
