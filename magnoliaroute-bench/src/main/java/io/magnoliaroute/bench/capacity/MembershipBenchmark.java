package io.magnoliaroute.bench.capacity;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Locale;

/**
 * Measures the cost of membership for each VM at three cluster sizes: bytes sent, processor time
 * and heap per member. Also measures the time from a crash until every VM has marked the crashed VM
 * as dead.
 */
public final class MembershipBenchmark {

  private static final int[][] CLUSTER_SIZES = {{21, 3}, {100, 4}, {410, 8}};
  private static final long SEED = 20_260;

  /** Time after which the deltas of the cluster start have reached their retransmission limit. */
  private static final long SETTLE_DURATION_MS = 180_000;

  private static final long STEADY_DURATION_MS = 60_000;
  private static final long TIMEOUT_MS = 600_000;
  private static final int CRASHES = 10;
  private static final long PARTITION_DURATION_MS = 30_000;
  private static final long NS_PER_MS = 1_000_000;
  private static final double MS_PER_SECOND = 1_000.0;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Measures all cluster sizes and prints one line of results for each. */
  public void run(PrintStream out) {
    // Warms up the JIT compiler; the result is discarded.
    measure(CLUSTER_SIZES[0][0], CLUSTER_SIZES[0][1]);
    out.println(
        "vms start_ms msgs/s/vm B/s/vm cpu%/vm heapB/member join_ms crash_p50_ms crash_max_ms false_dead"
            + " config_ms heal_ms heal_max_B/s/vm");
    for (int[] size : CLUSTER_SIZES) {
      out.println(measure(size[0], size[1]));
    }
  }

  private String measure(int vmCount, int dataCentreCount) {
    long heapBeforeBytes = HeapUsage.usedBytes();
    SimulatedMembershipCluster cluster =
        new SimulatedMembershipCluster(vmCount, dataCentreCount, SEED);
    long startMs = cluster.runUntil(() -> cluster.hasConverged(), TIMEOUT_MS);
    cluster.run(SETTLE_DURATION_MS);

    long bytes = cluster.sentBytes();
    long messages = cluster.sentMessages();
    long cpuNs = threads.getCurrentThreadCpuTime();
    cluster.run(STEADY_DURATION_MS);
    double vmSeconds = vmCount * STEADY_DURATION_MS / MS_PER_SECOND;
    double cpuShare =
        (threads.getCurrentThreadCpuTime() - cpuNs)
            / (double) (vmCount * STEADY_DURATION_MS * NS_PER_MS);
    double bytesPerSecond = (cluster.sentBytes() - bytes) / vmSeconds;
    double messagesPerSecond = (cluster.sentMessages() - messages) / vmSeconds;
    double heapBytesPerMember =
        (HeapUsage.usedBytes() - heapBeforeBytes) / ((double) vmCount * vmCount);

    cluster.join();
    long joinMs = cluster.runUntil(() -> cluster.hasConverged(), TIMEOUT_MS);
    cluster.publishConfigVersion(1);
    long configMs = cluster.runUntil(() -> cluster.hasConfigVersionEverywhere(1), TIMEOUT_MS);
    long[] crashMs = measureCrashes(cluster);
    int falseDeadPairs = cluster.countUnconvergedPairs(Integer.MAX_VALUE);
    Healing healing = measureHealing(cluster);
    return String.format(
        Locale.ROOT,
        "%d %d %.1f %.0f %.4f %.0f %d %d %d %d %d %d %d",
        vmCount,
        startMs,
        messagesPerSecond,
        bytesPerSecond,
        100 * cpuShare,
        heapBytesPerMember,
        joinMs,
        crashMs[CRASHES / 2],
        crashMs[CRASHES - 1],
        falseDeadPairs,
        configMs,
        healing.durationMs(),
        healing.maxBytesPerSecondPerVm());
  }

  private static long[] measureCrashes(SimulatedMembershipCluster cluster) {
    long[] crashMs = new long[CRASHES];
    for (int i = 0; i < CRASHES; i++) {
      int crashed = cluster.crashRandomVm();
      crashMs[i] = cluster.runUntil(() -> cluster.isDeadEverywhere(crashed), TIMEOUT_MS);
    }
    Arrays.sort(crashMs);
    return crashMs;
  }

  private record Healing(long durationMs, long maxBytesPerSecondPerVm) {}

  private static Healing measureHealing(SimulatedMembershipCluster cluster) {
    cluster.setPartitioned(true);
    cluster.run(PARTITION_DURATION_MS);
    cluster.setPartitioned(false);
    long sentBytesBefore = cluster.maxSentBytesPerVm();
    long durationMs = cluster.runUntil(() -> cluster.hasConverged(), TIMEOUT_MS);
    double seconds = durationMs / MS_PER_SECOND;
    return new Healing(
        durationMs, Math.round((cluster.maxSentBytesPerVm() - sentBytesBefore) / seconds));
  }
}
