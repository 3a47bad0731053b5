package io.magnoliaroute.cli;

import com.github.rvesse.airline.annotations.Command;

/** Prints the status of the VM that serves the request. */
@Command(name = "status", description = "Shows the status of the VM that serves the request")
public final class StatusCommand extends ServerCommand {

  @Override
  ExitCode run(Terminal terminal, ApiClient client) throws CommandException {
    terminal.printJson(get(client, "/admin/v1/status"));
    return ExitCode.OK;
  }
}
