package io.magnoliaroute.bench.capacity;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Locale;

/**
 * Measures membership for each VM at three sizes: bytes sent, processor time, heap for each member,
 * and the time from a crash until every VM holds the crashed one for dead.
 */
public final class MembershipSlopes {

  private static final int[][] SIZES = {{21, 3}, {100, 4}, {410, 8}};
  private static final long SEED = 20_260;

  /** Time in which the deltas of a start of all VMs are sent as often as their limit allows. */
  private static final long SETTLE_MS = 180_000;

  private static final long STEADY_MS = 60_000;
  private static final long LIMIT_MS = 600_000;
  private static final int CRASHES = 10;
  private static final long PARTITION_MS = 30_000;
  private static final long NS_PER_MS = 1_000_000;
  private static final double MS_PER_SECOND = 1_000.0;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Runs all sizes and prints one line of figures for each. */
  public void run(PrintStream out) {
    // The first run warms up the compiler and is not printed.
    measure(SIZES[0][0], SIZES[0][1]);
    out.println(
        "vms start_ms msgs/s/vm B/s/vm cpu%/vm heapB/member join_ms crash_p50_ms crash_max_ms false_dead"
            + " config_ms heal_ms heal_max_B/s/vm");
    for (int[] size : SIZES) {
      out.println(measure(size[0], size[1]));
    }
  }

  private String measure(int vms, int centres) {
    long heapBefore = Heap.usedBytes();
    MembershipCluster cluster = new MembershipCluster(vms, centres, SEED);
    long startMs = cluster.runUntil(() -> cluster.allHoldAllAlive(), LIMIT_MS);
    cluster.run(SETTLE_MS);

    long bytes = cluster.sentBytes();
    long messages = cluster.sentMessages();
    long cpuNs = threads.getCurrentThreadCpuTime();
    cluster.run(STEADY_MS);
    double vmSeconds = vms * STEADY_MS / MS_PER_SECOND;
    double cpuShare =
        (threads.getCurrentThreadCpuTime() - cpuNs) / (double) (vms * STEADY_MS * NS_PER_MS);
    double bytesPerSecond = (cluster.sentBytes() - bytes) / vmSeconds;
    double messagesPerSecond = (cluster.sentMessages() - messages) / vmSeconds;
    double heapPerMember = (Heap.usedBytes() - heapBefore) / ((double) vms * vms);

    cluster.join();
    long joinMs = cluster.runUntil(() -> cluster.allHoldAllAlive(), LIMIT_MS);
    cluster.publishConfig(1);
    long configMs = cluster.runUntil(() -> cluster.hasConfigEverywhere(1), LIMIT_MS);
    long[] crashMs = crash(cluster);
    int falseDead = cluster.wrongPairs(Integer.MAX_VALUE);
    Healing healing = heal(cluster);
    return String.format(
        Locale.ROOT,
        "%d %d %.1f %.0f %.4f %.0f %d %d %d %d %d %d %d",
        vms,
        startMs,
        messagesPerSecond,
        bytesPerSecond,
        100 * cpuShare,
        heapPerMember,
        joinMs,
        crashMs[CRASHES / 2],
        crashMs[CRASHES - 1],
        falseDead,
        configMs,
        healing.durationMs(),
        healing.mostBytesPerSecond());
  }

  private static long[] crash(MembershipCluster cluster) {
    long[] crashMs = new long[CRASHES];
    for (int i = 0; i < CRASHES; i++) {
      int crashed = cluster.crashOne();
      crashMs[i] = cluster.runUntil(() -> cluster.isDeadEverywhere(crashed), LIMIT_MS);
    }
    Arrays.sort(crashMs);
    return crashMs;
  }

  private record Healing(long durationMs, long mostBytesPerSecond) {}

  private static Healing heal(MembershipCluster cluster) {
    cluster.halve(true);
    cluster.run(PARTITION_MS);
    cluster.halve(false);
    long before = cluster.mostSentBytes();
    long durationMs = cluster.runUntil(() -> cluster.allHoldAllAlive(), LIMIT_MS);
    double seconds = durationMs / MS_PER_SECOND;
    return new Healing(durationMs, Math.round((cluster.mostSentBytes() - before) / seconds));
  }
}
