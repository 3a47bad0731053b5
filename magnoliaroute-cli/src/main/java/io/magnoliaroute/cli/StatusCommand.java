package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;

/** Shows the state of the VM that answers. */
@Command(name = "status", description = "Shows the state of the VM that answers")
public final class StatusCommand extends ServerCommand {

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandFailure {
    terminal.printJson(get(client, "/admin/v1/status"));
    return ExitCode.OK;
  }
}
