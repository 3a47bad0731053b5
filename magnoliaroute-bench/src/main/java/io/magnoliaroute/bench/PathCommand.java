package io.magnoliaroute.bench;

import com.github.rvesse.airline.annotations.Command;
import io.magnoliaroute.bench.path.PathBenchmark;

/** Runs the path benchmark, which compares a daemon with direct calls to a stand-in engine. */
@Command(name = "path", description = "Measures the latency and throughput that a daemon adds")
public final class PathCommand implements Runnable {

  @Override
  public void run() {
    PathBenchmark.run(System.out);
  }
}
