package io.magnoliaroute.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** What every command has: help and the output format. */
public abstract class BaseCommand {

  @AirlineModule HelpOption<BaseCommand> help = new HelpOption<>();

  @Option(
      name = {"--output"},
      title = "format",
      description = "text or json (default: text)")
  String output = "text";

  /** Runs the command and returns the exit code. */
  final ExitCode run(PrintStream out, PrintStream err, Map<String, String> environment)
      throws CommandFailure {
    return run(new Terminal(out, err, environment, OutputFormat.ofName(output)));
  }

  abstract ExitCode run(Terminal terminal) throws CommandFailure;

  static String readFile(String file) throws CommandFailure {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandFailure(
          ExitCode.FAILED, file + ": cannot be read: " + e.getClass().getSimpleName());
    }
  }
}
