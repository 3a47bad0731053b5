package io.magnoliaroute.cli;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Base class of all commands with the help and output format options. */
public abstract class BaseCommand {

  @AirlineModule HelpOption<BaseCommand> help = new HelpOption<>();

  @Option(
      name = {"--output"},
      title = "format",
      description = "text or json (default: text)")
  String output = "text";

  /** Runs the command and returns the exit code. */
  final ExitCode run(PrintStream out, PrintStream err, Map<String, String> environment)
      throws CommandException {
    return run(new Terminal(out, err, environment, OutputFormat.fromName(output)));
  }

  abstract ExitCode run(Terminal terminal) throws CommandException;

  /**
   * Reads a UTF-8 file; a file that cannot be read ends the command with {@link ExitCode#FAILED}.
   */
  static String readFile(String file) throws CommandException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.FAILED, file + ": cannot be read: " + e.getClass().getSimpleName());
    }
  }
}
