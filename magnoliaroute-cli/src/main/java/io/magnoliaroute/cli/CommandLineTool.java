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

/** Parses the command line and runs the selected command. */
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
            ConfigCheckRoutingCommand.class,
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

  private static final List<String> HELP_ARGUMENTS = List.of("--help", "-h", "help");

  private CommandLineTool() {}

  /** Runs the command and returns its exit code without exiting the process. */
  static ExitCode run(
      String[] args, PrintStream out, PrintStream err, Map<String, String> environment) {
    com.github.rvesse.airline.Cli<BaseCommand> cli =
        new com.github.rvesse.airline.Cli<>(CommandLineTool.class);
    List<String> arguments = Arrays.asList(args);
    if (arguments.stream().anyMatch(HELP_ARGUMENTS::contains)) {
      return printHelp(cli.getMetadata(), arguments, out, err);
    }
    try {
      return cli.parse(args).run(out, err, environment);
    } catch (ParseException e) {
      err.println("magnoliaroute: " + e.getMessage());
      err.println("Try: magnoliaroute --help");
      return ExitCode.USAGE;
    } catch (CommandException e) {
      err.println("magnoliaroute: " + e.getMessage());
      return e.exitCode();
    }
  }

  /** Prints help for the command that precedes the help argument, otherwise the one after it. */
  private static ExitCode printHelp(
      GlobalMetadata<BaseCommand> metadata,
      List<String> arguments,
      PrintStream out,
      PrintStream err) {
    List<String> before =
        arguments.stream().takeWhile(argument -> !HELP_ARGUMENTS.contains(argument)).toList();
    List<String> path = before.isEmpty() ? arguments.subList(1, arguments.size()) : before;
    boolean inGroup =
        !path.isEmpty()
            && metadata.getCommandGroups().stream()
                .anyMatch(group -> group.getName().equals(path.get(0)));
    List<String> command = path.subList(0, Math.min(path.size(), inGroup ? 2 : 1));
    try {
      Help.help(metadata, command, out);
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("magnoliaroute: cannot print the help");
      return ExitCode.FAILED;
    }
  }
}
