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

/** Publishes one branch on the version that the operator saw. */
@Command(name = "publish", description = "Publishes a branch, or deletes it with --delete")
public final class ConfigPublishCommand extends ServerCommand {

  @Option(
      name = {"--base"},
      title = "version",
      description = "the version that the change is made on, from config show")
  Long base;

  @Option(
      name = {"--new"},
      description = "the branch has never existed")
  boolean newBranch;

  @Option(
      name = {"--delete"},
      description = "deletes the branch; no file is given")
  boolean delete;

  @Required
  @Arguments(title = "branch file", description = "the branch and the YAML file")
  List<String> words = new ArrayList<>();

  private BranchName branch;
  private JsonObject body;

  @Override
  void prepare(Terminal terminal) throws CommandFailure {
    int wanted = delete ? 1 : 2;
    if (words.size() != wanted) {
      throw new CommandFailure(
          ExitCode.USAGE, delete ? "give the branch only" : "give the branch and the file");
    }
    // Reading the base here would hide a change that the operator has not seen.
    if ((base == null) != newBranch) {
      throw new CommandFailure(ExitCode.USAGE, "give either --base or --new");
    }
    branch = ConfigCheckCommand.branchName(words.get(0));
    body = new JsonObject().put("base", newBranch ? ConfigState.ABSENT_VERSION : base);
    body.put("yaml", delete ? null : checked(terminal, words.get(1)));
  }

  private String checked(Terminal terminal, String file) throws CommandFailure {
    String yaml = readFile(file);
    ParseResult<Branch> result = SettingsParser.parseBranch(file, branch, yaml);
    if (result.refused()) {
      terminal.printFindings(result.findings());
      throw new CommandFailure(
          ExitCode.FINDINGS, "not published: " + branch + " has errors in " + file);
    }
    return yaml;
  }

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    String path = "/admin/v1/config/" + ApiClient.segment(branch.value());
    JsonObject reply = request(client, HttpMethod.POST, path, Optional.of(body));
    if (terminal.json()) {
      terminal.printJson(reply);
    } else {
      String done = delete ? "deleted" : "published";
      terminal.out().println(done + " " + branch + ", version " + reply.getLong("version"));
    }
    return ExitCode.OK;
  }
}
