package io.magnoliaroute.cli;

/** Entry point of the command-line tool. */
public final class CliMain {

  private CliMain() {}

  /** Runs the command and exits the process with its exit code. */
  public static void main(String[] args) {
    System.exit(CommandLineTool.run(args, System.out, System.err, System.getenv()).code());
  }
}
