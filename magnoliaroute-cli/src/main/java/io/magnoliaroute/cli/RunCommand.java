package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MaxOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.magnoliaroute.core.settings.ParseResult;
import io.magnoliaroute.core.settings.ProgramScript;
import io.magnoliaroute.core.settings.ProgramScriptParser;
import java.util.Optional;

/** Runs a program that is defined in a YAML file and prints its progress. */
@Command(name = "run", description = "Runs a program from a YAML file and prints its progress")
public final class RunCommand extends ServerCommand {

  @Required
  @MaxOccurrences(occurrences = 1)
  @Arguments(title = "file", description = "the program, see examples/program.yaml")
  String file;

  private ProgramScript script;

  @Override
  void prepare(Terminal terminal) throws CommandException {
    ParseResult<ProgramScript> result = ProgramScriptParser.parse(file, readFile(file));
    if (result.value().isEmpty()) {
      terminal.printFindings(result.findings());
      throw new CommandException(ExitCode.FINDINGS, "not started: " + file + " has errors");
    }
    script = result.value().get();
  }

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    new ScriptRunner(client, new ProgressPrinter(terminal)).run(script, Optional.empty());
    return ExitCode.OK;
  }
}
