package io.magnoliaroute.cli;

/** Ends a command with a message and an exit code. */
final class CommandFailure extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandFailure(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
