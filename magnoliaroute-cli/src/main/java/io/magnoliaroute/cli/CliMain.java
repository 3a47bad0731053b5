package io.magnoliaroute.cli;

/** Starts the command-line tool. */
public final class CliMain {

  private CliMain() {}

  /** Runs the program with the given arguments. */
  public static void main(String[] args) {
    System.exit(CommandLineTool.run(args, System.out, System.err, System.getenv()).code());
  }
}
