package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.settings.Branch;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.ParseResult;
import io.magnoliaroute.core.settings.SettingsParser;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Publishes or deletes one branch, based on the version that the operator reviewed. */
@Command(name = "publish", description = "Publishes a branch, or deletes it with --delete")
public final class ConfigPublishCommand extends ServerCommand {

  @Option(
      name = {"--base"},
      title = "version",
      description = "the version that the change is based on, as printed by config show")
  Long base;

  @Option(
      name = {"--new"},
      description = "creates a branch that has never existed")
  boolean newBranch;

  @Option(
      name = {"--delete"},
      description = "deletes the branch; takes no file")
  boolean delete;

  @Required
  @Arguments(title = "branch file", description = "the branch and the YAML file")
  List<String> arguments = new ArrayList<>();

  private BranchName branch;
  private JsonObject body;

  @Override
  void prepare(Terminal terminal) throws CommandException {
    int expected = delete ? 1 : 2;
    if (arguments.size() != expected) {
      throw new CommandException(
          ExitCode.USAGE,
          delete ? "--delete expects only a branch" : "expected a branch and a file");
    }
    // The base version is not fetched from the server: the publication would then overwrite a
    // change that the operator has not reviewed.
    if ((base == null) != newBranch) {
      throw new CommandException(ExitCode.USAGE, "exactly one of --base and --new is required");
    }
    branch = ConfigCheckCommand.parseBranchName(arguments.get(0));
    body = new JsonObject().put("base", newBranch ? ConfigState.ABSENT_VERSION : base);
    body.put("yaml", delete ? null : readValidated(terminal, arguments.get(1)));
  }

  private String readValidated(Terminal terminal, String file) throws CommandException {
    String yaml = readFile(file);
    ParseResult<Branch> result = SettingsParser.parseBranch(file, branch, yaml);
    if (result.hasErrors()) {
      terminal.printFindings(result.findings());
      throw new CommandException(
          ExitCode.FINDINGS, "not published: " + branch + " has errors in " + file);
    }
    return yaml;
  }

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    String path = "/admin/v1/config/" + ApiClient.encodePathSegment(branch.value());
    JsonObject response = request(client, HttpMethod.POST, path, Optional.of(body));
    if (terminal.isJson()) {
      terminal.printJson(response);
    } else {
      String action = delete ? "deleted" : "published";
      terminal.out().println(action + " " + branch + ", version " + response.getLong("version"));
    }
    return ExitCode.OK;
  }
}
