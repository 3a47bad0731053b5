package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the teams with their budgets and rations. */
@Command(name = "teams", description = "Lists the teams with their budgets and rations")
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
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    JsonObject reply = get(client, "/admin/v1/teams");
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      terminal.printTable(COLUMNS, reply.getJsonArray("teams", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
