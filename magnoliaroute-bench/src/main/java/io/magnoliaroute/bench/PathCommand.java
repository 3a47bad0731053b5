package io.magnoliaroute.bench;

import com.github.rvesse.airline.annotations.Command;
import io.magnoliaroute.bench.path.PathBenchmark;

/** Compares the path through a daemon with a direct call to the engine stand-in. */
@Command(name = "path", description = "Measures the latency and throughput that a daemon adds")
public final class PathCommand implements Runnable {

  @Override
  public void run() {
    PathBenchmark.run(System.out);
  }
}
