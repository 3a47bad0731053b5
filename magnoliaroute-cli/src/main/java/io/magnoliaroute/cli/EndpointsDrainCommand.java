package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Drains an endpoint, which then receives no new work. */
@Command(name = "drain", description = "Stops sending new work to an endpoint")
public final class EndpointsDrainCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "endpoint", description = "the id of the endpoint")
  String id;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String path = "/admin/v1/endpoints/" + ApiClient.encodePathSegment(id) + "/drain";
    JsonObject response = request(client, HttpMethod.POST, path, Optional.of(new JsonObject()));
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.out().println("draining " + id);
    }
    return ExitCode.OK;
  }
}
