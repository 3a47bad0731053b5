package io.magnoliaroute.cli;

/** The exit codes of the command-line tool. */
public enum ExitCode {
  /** The command did what it says. */
  OK(0),
  /** The request ran and failed, or a file could not be read. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** Settings or a program have errors. */
  FINDINGS(3),
  /** The server refused the request; it did not run. */
  NOT_RUN(4),
  /** The request may have run; no final answer came. */
  UNKNOWN(5),
  /** No connection to the server; nothing was sent. */
  UNREACHABLE(6);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the code for the operating system. */
  public int code() {
    return code;
  }
}
