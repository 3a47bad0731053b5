package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Finds the command that the arguments name and runs it. */
@Cli(
    name = "magnoliaroute",
    description =
        "Operates magnoliaroute. Exit codes: 0 ok, 1 failed, 2 usage, 3 findings, 4 not run,"
            + " 5 unknown, 6 unreachable.",
    commands = {StatusCommand.class, TeamsCommand.class, RunCommand.class, ExplainCommand.class},
    groups = {
      @Group(
          name = "config",
          description = "Checks, publishes and shows settings",
          commands = {
            ConfigCheckCommand.class,
            ConfigPublishCommand.class,
            ConfigShowCommand.class,
            ConfigHistoryCommand.class
          }),
      @Group(
          name = "programs",
          description = "Lists, shows and cancels programs",
          commands = {
            ProgramsListCommand.class,
            ProgramsShowCommand.class,
            ProgramsCancelCommand.class
          }),
      @Group(
          name = "endpoints",
          description = "Lists, drains and resumes endpoints",
          commands = {
            EndpointsListCommand.class,
            EndpointsDrainCommand.class,
            EndpointsResumeCommand.class
          })
    })
final class CommandLineTool {

  private static final List<String> HELP = List.of("--help", "-h", "help");

  private CommandLineTool() {}

  /** Runs the command and returns the exit code; it does not end the process. */
  static ExitCode run(
      String[] args, PrintStream out, PrintStream err, Map<String, String> environment) {
    com.github.rvesse.airline.Cli<BaseCommand> cli =
        new com.github.rvesse.airline.Cli<>(CommandLineTool.class);
    List<String> words = Arrays.asList(args);
    if (words.stream().anyMatch(HELP::contains)) {
      return help(cli.getMetadata(), words, out, err);
    }
    try {
      return cli.parse(args).run(out, err, environment);
    } catch (ParseException e) {
      err.println("magnoliaroute: " + e.getMessage());
      err.println("Try: magnoliaroute --help");
      return ExitCode.USAGE;
    } catch (CommandFailure e) {
      err.println("magnoliaroute: " + e.getMessage());
      return e.exitCode();
    }
  }

  /** Prints the help of the command that is named before the help option, or after it. */
  private static ExitCode help(
      GlobalMetadata<BaseCommand> metadata, List<String> words, PrintStream out, PrintStream err) {
    List<String> before = words.stream().takeWhile(word -> !HELP.contains(word)).toList();
    List<String> named = before.isEmpty() ? words.subList(1, words.size()) : before;
    boolean inGroup =
        !named.isEmpty()
            && metadata.getCommandGroups().stream()
                .anyMatch(group -> group.getName().equals(named.get(0)));
    List<String> command = named.subList(0, Math.min(named.size(), inGroup ? 2 : 1));
    try {
      Help.help(metadata, command, out);
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("magnoliaroute: the help cannot be printed");
      return ExitCode.FAILED;
    }
  }
}
