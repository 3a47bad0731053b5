package io.magnoliaroute.bench.path;

/** Runs the path benchmark alone. */
public final class PathMain {

  private PathMain() {}

  /** Prints the figures; arguments are not read. */
  public static void main(String[] args) {
    PathBenchmark.run(System.out);
  }
}
