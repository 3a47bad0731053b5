package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.Finding;
import io.magnoliaroute.core.settings.ParseResult;
import io.magnoliaroute.core.settings.ProcessSettingsParser;
import io.magnoliaroute.core.settings.SettingsParser;
import java.util.ArrayList;
import java.util.List;

/** Checks settings files locally, without contacting a server. */
@Command(
    name = "check",
    description = "Checks files that contain a settings tree, one branch or process settings")
public final class ConfigCheckCommand extends BaseCommand {

  @Option(
      name = {"--branch"},
      title = "branch",
      description = "checks the files as one branch, such as teams/counter")
  String branch;

  @Option(
      name = {"--process"},
      description = "checks the files as process settings")
  boolean process;

  @Required
  @Arguments(title = "file", description = "YAML files")
  List<String> files = new ArrayList<>();

  @Override
  ExitCode run(Terminal terminal) throws CommandException {
    if (branch != null && process) {
      throw new CommandException(ExitCode.USAGE, "--branch and --process are mutually exclusive");
    }
    List<Finding> findings = new ArrayList<>();
    for (String file : files) {
      findings.addAll(check(file).findings());
    }
    terminal.printFindings(findings);
    boolean hasErrors = findings.stream().anyMatch(Finding::isError);
    if (!terminal.isJson()) {
      terminal.out().println(hasErrors ? "findings: " + findings.size() : "ok");
    }
    return hasErrors ? ExitCode.FINDINGS : ExitCode.OK;
  }

  private ParseResult<?> check(String file) throws CommandException {
    String yaml = readFile(file);
    if (process) {
      return ProcessSettingsParser.parse(file, yaml);
    }
    return branch == null
        ? SettingsParser.parseTree(file, yaml)
        : SettingsParser.parseBranch(file, parseBranchName(branch), yaml);
  }

  /** Parses a branch name; an invalid name ends the command with {@link ExitCode#USAGE}. */
  static BranchName parseBranchName(String text) throws CommandException {
    try {
      return new BranchName(text);
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, e.getMessage());
    }
  }
}
