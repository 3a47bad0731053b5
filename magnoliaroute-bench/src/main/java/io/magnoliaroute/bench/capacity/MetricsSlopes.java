package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import java.io.PrintStream;

/** Measures the heap that the histograms of teams take, at team counts ten times apart. */
public final class MetricsSlopes {

  private static final int[] TEAM_COUNTS = {20, 200, 2_000, 9_200};
  private static final int VALUES_FOR_EACH_TEAM = 200;
  private static final long LARGEST_MS = 60_000;

  private MetricsSlopes() {}

  /** Prints the heap bytes of the metrics of one VM. */
  public static void run(PrintStream out) {
    out.println("metrics: histograms for each team and class");
    for (int teams : TEAM_COUNTS) {
      long before = Heap.usedBytes();
      DaemonMetrics metrics = new DaemonMetrics();
      fill(metrics, teams);
      long bytes = Heap.usedBytes() - before;
      long startNanos = System.nanoTime();
      int textBytes = metrics.text().length();
      long textMs = (System.nanoTime() - startNanos) / 1_000_000;
      out.printf(
          "  %5d teams: %,d bytes of heap, page of %,d bytes in %d ms, %d series evicted%n",
          teams, bytes, textBytes, textMs, metrics.countOf("metrics_evicted_series"));
    }
  }

  private static void fill(DaemonMetrics metrics, int teams) {
    for (int team = 0; team < teams; team++) {
      TeamId id = new TeamId("team-" + team);
      for (int i = 0; i < VALUES_FOR_EACH_TEAM; i++) {
        long valueMs = (i + 1) * LARGEST_MS / VALUES_FOR_EACH_TEAM;
        metrics.time("wait_ms", id, PriorityClass.NORMAL, valueMs);
      }
    }
  }
}
