package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Cancels a program by its id. */
@Command(name = "cancel", description = "Cancels a program")
public final class ProgramsCancelCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "program", description = "the id of the program")
  String id;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String path = "/v1/programs/" + ApiClient.encodePathSegment(id) + "/cancel";
    JsonObject response = request(client, HttpMethod.POST, path, Optional.of(new JsonObject()));
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      terminal.out().println("cancelled " + id);
    }
    return ExitCode.OK;
  }
}
