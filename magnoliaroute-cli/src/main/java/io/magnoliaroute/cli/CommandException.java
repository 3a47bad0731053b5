package io.magnoliaroute.cli;

/** Thrown to end a command with an error message and an exit code. */
final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
