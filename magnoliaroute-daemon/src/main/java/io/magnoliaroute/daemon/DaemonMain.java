package io.magnoliaroute.daemon;

/** Starts the daemon. */
public final class DaemonMain {

  private DaemonMain() {}

  /** Runs the program with the given arguments. */
  public static void main(String[] args) {
    System.exit(2);
  }
}
