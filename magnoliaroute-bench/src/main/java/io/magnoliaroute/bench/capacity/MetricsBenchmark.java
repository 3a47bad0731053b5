package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.model.PriorityClass;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import java.io.PrintStream;

/** Measures the heap and the size of the metrics page by the number of teams. */
public final class MetricsBenchmark {

  private static final int[] TEAM_COUNTS = {20, 200, 2_000, 9_200};
  private static final int VALUES_PER_TEAM = 200;
  private static final long MAX_VALUE_MS = 60_000;

  private MetricsBenchmark() {}

  /** Prints one line of results for each number of teams, for the metrics of one VM. */
  public static void run(PrintStream out) {
    out.println("metrics: histograms for each team and class");
    for (int teamCount : TEAM_COUNTS) {
      long heapBeforeBytes = HeapUsage.usedBytes();
      DaemonMetrics metrics = new DaemonMetrics();
      fill(metrics, teamCount);
      long heapBytes = HeapUsage.usedBytes() - heapBeforeBytes;
      long startNanos = System.nanoTime();
      int textBytes = metrics.toText().length();
      long textMs = (System.nanoTime() - startNanos) / 1_000_000;
      out.printf(
          "  %5d teams: %,d bytes of heap, page of %,d bytes in %d ms, %d series evicted%n",
          teamCount, heapBytes, textBytes, textMs, metrics.counterValue("metrics_evicted_series"));
    }
  }

  private static void fill(DaemonMetrics metrics, int teamCount) {
    for (int team = 0; team < teamCount; team++) {
      TeamId id = new TeamId("team-" + team);
      for (int i = 0; i < VALUES_PER_TEAM; i++) {
        long valueMs = (i + 1) * MAX_VALUE_MS / VALUES_PER_TEAM;
        metrics.recordDuration("wait_ms", id, PriorityClass.NORMAL, valueMs);
      }
    }
  }
}
