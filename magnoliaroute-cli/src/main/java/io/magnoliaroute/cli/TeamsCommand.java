package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the teams with their shares, token budgets and rate limits of urgent calls. */
@Command(name = "teams", description = "Lists the teams with their budgets and urgent call limits")
public final class TeamsCommand extends ServerCommand {

  private static final List<String> COLUMNS =
      List.of(
          "team",
          "share",
          "budget_units",
          "period_ms",
          "urgent_calls_per_minute",
          "urgent_burst_calls");

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    JsonObject response = get(client, "/admin/v1/teams");
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.printTable(COLUMNS, response.getJsonArray("teams", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
