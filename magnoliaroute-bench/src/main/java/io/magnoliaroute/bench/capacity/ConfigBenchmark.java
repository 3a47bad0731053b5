package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.config.BranchEntry;
import io.magnoliaroute.core.config.ConfigCodec;
import io.magnoliaroute.core.config.ConfigExchange;
import io.magnoliaroute.core.config.ConfigFormatException;
import io.magnoliaroute.core.config.ConfigPull;
import io.magnoliaroute.core.config.ConfigRecord;
import io.magnoliaroute.core.config.ConfigState;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.settings.BranchName;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Measures the cost of configuration for each VM: bytes and processor time of the changes of a day,
 * heap per branch, and the time until a change is effective on every VM by peer exchange alone.
 */
public final class ConfigBenchmark {

  private static final int[] BRANCH_COUNTS = {920, 9_200};
  private static final int[][] CLUSTER_SIZES = {{21, 3}, {100, 4}, {410, 8}};
  private static final int CHANGES_PER_DAY = 6_300;
  private static final int MEASURED_CHANGES = 2_000;
  private static final int PROPAGATED_CHANGES = 40;
  private static final long SEED = 20_261;

  /** Snapshots per branch and day, at a retention of one day. */
  private static final int SNAPSHOTS_PER_DAY = 4;

  private static final double DAY_SECONDS = 86_400;
  private static final double NS_PER_US = 1_000;
  private static final double NS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Measures all branch counts and cluster sizes and prints one line of results for each. */
  public void run(PrintStream out) {
    try {
      // Warms up the JIT compiler; the result is discarded.
      measureBranches(BRANCH_COUNTS[0]);
      out.println(
          "branches recordB heapB/branch start_ms change_us snapshot_entry_us answer_us"
              + " read_B/s/vm cpu%/vm heapMB");
      for (int branches : BRANCH_COUNTS) {
        out.println(measureBranches(branches));
      }
    } catch (ConfigFormatException e) {
      throw new IllegalStateException("benchmark record cannot be decoded", e);
    }
    out.println("vms spread_p50_ms spread_max_ms exchange_B/change/vm");
    for (int[] size : CLUSTER_SIZES) {
      out.println(measurePropagation(size[0], size[1]));
    }
  }

  private String measureBranches(int branchCount) throws ConfigFormatException {
    List<Bytes> records = new ArrayList<>();
    for (int i = 0; i < branchCount; i++) {
      records.add(ConfigCodec.encode(publishedRecord(i, ConfigState.ABSENT_VERSION, 0)));
    }
    long heapBeforeBytes = HeapUsage.usedBytes();
    ConfigState state = new ConfigState();
    long startNs = threads.getCurrentThreadCpuTime();
    long offset = 0;
    for (Bytes encoded : records) {
      state.apply(offset++, ConfigCodec.decode(encoded));
    }
    state.effectiveSettings();
    long loadNs = threads.getCurrentThreadCpuTime() - startNs;
    double heapBytesPerBranch = (HeapUsage.usedBytes() - heapBeforeBytes) / (double) branchCount;

    double changeNs = measureChange(state, branchCount, offset);
    double snapshotEntryNs = measureSnapshotEntry(state, offset + MEASURED_CHANGES);
    double pullResponseNs = measurePullResponse(state);
    double snapshotsPerDay = (double) branchCount * SNAPSHOTS_PER_DAY;
    double bytesPerSecond =
        records.get(0).sizeBytes() * (CHANGES_PER_DAY + snapshotsPerDay) / DAY_SECONDS;
    double cpuSecondsPerDay =
        (CHANGES_PER_DAY * changeNs + snapshotsPerDay * snapshotEntryNs) / NS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%d %d %.0f %.0f %.0f %.1f %.0f %.0f %.4f %.1f",
        branchCount,
        records.get(0).sizeBytes(),
        heapBytesPerBranch,
        loadNs / 1e6,
        changeNs / NS_PER_US,
        snapshotEntryNs / NS_PER_US,
        pullResponseNs / NS_PER_US,
        bytesPerSecond,
        100 * cpuSecondsPerDay / DAY_SECONDS,
        heapBytesPerBranch * branchCount / 1e6);
  }

  /** Returns the processor time in ns to decode and apply a change and build the effective tree. */
  private double measureChange(ConfigState state, int branchCount, long firstOffset)
      throws ConfigFormatException {
    List<Bytes> changes = new ArrayList<>();
    for (int i = 0; i < MEASURED_CHANGES; i++) {
      int branch = i % branchCount;
      long baseVersion = i < branchCount ? branch : firstOffset + i - branchCount;
      changes.add(ConfigCodec.encode(publishedRecord(branch, baseVersion, i + 1)));
    }
    long offset = firstOffset;
    long startNs = threads.getCurrentThreadCpuTime();
    for (Bytes encoded : changes) {
      if (!state.apply(offset++, ConfigCodec.decode(encoded)).isAccepted()) {
        throw new IllegalStateException("benchmark change rejected");
      }
      state.effectiveSettings();
    }
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) MEASURED_CHANGES;
  }

  /** Returns the processor time in ns to decode and apply a snapshot, per entry. */
  private double measureSnapshotEntry(ConfigState state, long firstOffset)
      throws ConfigFormatException {
    List<BranchEntry> entries = state.branches();
    Bytes snapshot =
        ConfigCodec.encode(new ConfigRecord.Snapshot("s", 0, firstOffset - 1, entries));
    long startNs = threads.getCurrentThreadCpuTime();
    state.apply(firstOffset, ConfigCodec.decode(snapshot));
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) entries.size();
  }

  /**
   * Returns the processor time in ns to build the response to a pull that is one version behind.
   */
  private double measurePullResponse(ConfigState state) {
    ConfigPull pull = new ConfigPull(state.version() - 1);
    int sentEntries = 0;
    long startNs = threads.getCurrentThreadCpuTime();
    for (int i = 0; i < MEASURED_CHANGES; i++) {
      sentEntries += ConfigExchange.pushFor(state, pull, 64 * 1024).entries().size();
    }
    if (sentEntries != MEASURED_CHANGES) {
      throw new IllegalStateException(
          "unexpected size of pull responses: " + sentEntries + " entries");
    }
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) MEASURED_CHANGES;
  }

  private static String measurePropagation(int vmCount, int dataCentreCount) {
    ConfigPropagationSimulation cluster =
        new ConfigPropagationSimulation(vmCount, dataCentreCount, SEED);
    long[] propagationMs = new long[PROPAGATED_CHANGES];
    for (int i = 0; i < PROPAGATED_CHANGES; i++) {
      propagationMs[i] = cluster.propagationMs(branchYaml(0, i));
    }
    Arrays.sort(propagationMs);
    return String.format(
        Locale.ROOT,
        "%d %d %d %.0f",
        vmCount,
        propagationMs[PROPAGATED_CHANGES / 2],
        propagationMs[PROPAGATED_CHANGES - 1],
        cluster.exchangedBytes() / (double) PROPAGATED_CHANGES / vmCount);
  }

  private static ConfigRecord publishedRecord(int branch, long baseVersion, int revision) {
    return new ConfigRecord.Published(
        "vm-1/1/" + branch + "-" + revision,
        new BranchName("teams/workspace-" + branch),
        baseVersion,
        Optional.of(branchYaml(branch, revision)),
        "operator",
        1_760_000_000_000L);
  }

  /** Returns a team branch as in the example tree, with two tokens and three program kinds. */
  private static String branchYaml(int branch, int revision) {
    return """
        token_hashes:
          - "%064x"
          - "%064x"
        share: %d
        programs:
          take_order: {priority: normal, deadline_ms: 20000}
          spoiling_goods: {priority: urgent, deadline_ms: 5000}
          nightly_report: {priority: bulk, deadline_ms: 14400000}
        urgent_ration: {calls_per_minute: 30, burst_calls: 10}
        budget: {units_per_period: 40000000, period_ms: 86400000}
        limits:
          max_turns: 67
          max_tokens: 1000000
          max_repeats: 5
          tool_timeout_ms: 30000
          idle_timeout_ms: 600000
        """
        .formatted(2 * branch + 1, 2 * branch + 2, 1 + revision % 1_000);
  }
}
