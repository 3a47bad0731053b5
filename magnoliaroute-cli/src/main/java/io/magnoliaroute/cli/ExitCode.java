package io.magnoliaroute.cli;

/** Exit codes of the command-line tool. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The request ran and failed, or a file could not be read. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The settings or the program file contain errors. */
  FINDINGS(3),
  /** The server rejected the request without running it. */
  NOT_RUN(4),
  /** The request may have run; no final response was received. */
  UNKNOWN(5),
  /** No connection to the server, or no complete response to a GET request; nothing was changed. */
  UNREACHABLE(6);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the process exit status. */
  public int code() {
    return code;
  }
}
