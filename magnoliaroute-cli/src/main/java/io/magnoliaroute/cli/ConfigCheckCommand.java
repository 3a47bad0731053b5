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

/** Checks files with settings without a server. */
@Command(
    name = "check",
    description = "Checks files with a settings tree, one branch or process settings")
public final class ConfigCheckCommand extends BaseCommand {

  @Option(
      name = {"--branch"},
      title = "branch",
      description = "the files hold one branch, such as teams/counter")
  String branch;

  @Option(
      name = {"--process"},
      description = "the files hold process settings")
  boolean process;

  @Required
  @Arguments(title = "file", description = "YAML files")
  List<String> files = new ArrayList<>();

  @Override
  ExitCode run(Terminal terminal) throws CommandFailure {
    if (branch != null && process) {
      throw new CommandFailure(ExitCode.USAGE, "--branch and --process exclude each other");
    }
    List<Finding> findings = new ArrayList<>();
    for (String file : files) {
      findings.addAll(check(file).findings());
    }
    terminal.printFindings(findings);
    boolean refused = findings.stream().anyMatch(Finding::isError);
    if (!terminal.json()) {
      terminal.out().println(refused ? "findings: " + findings.size() : "ok");
    }
    return refused ? ExitCode.FINDINGS : ExitCode.OK;
  }

  private ParseResult<?> check(String file) throws CommandFailure {
    String yaml = readFile(file);
    if (process) {
      return ProcessSettingsParser.parse(file, yaml);
    }
    return branch == null
        ? SettingsParser.parseTree(file, yaml)
        : SettingsParser.parseBranch(file, branchName(branch), yaml);
  }

  static BranchName branchName(String text) throws CommandFailure {
    try {
      return new BranchName(text);
    } catch (IllegalArgumentException e) {
      throw new CommandFailure(ExitCode.USAGE, e.getMessage());
    }
  }
}
