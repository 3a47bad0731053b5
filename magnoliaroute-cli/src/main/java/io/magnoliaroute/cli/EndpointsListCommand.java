package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Lists the endpoints. */
@Command(name = "list", description = "Lists the endpoints")
public final class EndpointsListCommand extends ServerCommand {

  private static final List<String> COLUMNS =
      List.of("endpoint", "pool", "kind", "address", "data_centre", "window_slots", "draining");

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    JsonObject reply = get(client, "/admin/v1/endpoints");
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      terminal.printTable(COLUMNS, reply.getJsonArray("endpoints", new JsonArray()));
    }
    return ExitCode.OK;
  }
}
