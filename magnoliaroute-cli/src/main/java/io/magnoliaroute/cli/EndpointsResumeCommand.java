package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Resumes a drained endpoint, which then receives new work again. */
@Command(name = "resume", description = "Resumes sending new work to a drained endpoint")
public final class EndpointsResumeCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "endpoint", description = "the id of the endpoint")
  String id;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String path = "/admin/v1/endpoints/" + ApiClient.encodePathSegment(id) + "/resume";
    JsonObject response = request(client, HttpMethod.POST, path, Optional.of(new JsonObject()));
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.out().println("resumed " + id);
    }
    return ExitCode.OK;
  }
}
