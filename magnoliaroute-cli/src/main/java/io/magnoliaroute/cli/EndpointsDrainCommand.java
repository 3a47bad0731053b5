package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Gives an endpoint no new work. */
@Command(name = "drain", description = "Gives an endpoint no new work")
public final class EndpointsDrainCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "endpoint", description = "the id of the endpoint")
  String id;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    String path = "/admin/v1/endpoints/" + ApiClient.segment(id) + "/drain";
    JsonObject reply = request(client, HttpMethod.POST, path, Optional.of(new JsonObject()));
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      terminal.out().println("draining " + id);
    }
    return ExitCode.OK;
  }
}
