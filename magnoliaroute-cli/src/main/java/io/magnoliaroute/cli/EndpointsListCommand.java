package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the endpoints with their pools, addresses and drain state. */
@Command(name = "list", description = "Lists the endpoints")
public final class EndpointsListCommand extends ServerCommand {

  private static final List<String> COLUMNS =
      List.of("endpoint", "pool", "kind", "address", "data_centre", "window_slots", "draining");

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    JsonObject response = get(client, "/admin/v1/endpoints");
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.printTable(COLUMNS, response.getJsonArray("endpoints", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
