package io.magnoliaroute.bench;

/** Starts the benchmarks. */
public final class BenchMain {

  private BenchMain() {}

  /** Runs the program with the given arguments. */
  public static void main(String[] args) {
    System.exit(2);
  }
}
