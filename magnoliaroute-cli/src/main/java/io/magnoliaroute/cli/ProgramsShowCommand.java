package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Prints one program as JSON. */
@Command(name = "show", description = "Shows one program")
public final class ProgramsShowCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "program", description = "the id of the program")
  String program;

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    terminal.printJson(get(client, "/v1/programs/" + ApiClient.encodePathSegment(program)));
    return ExitCode.OK;
  }
}
