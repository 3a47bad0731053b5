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
 * Measures what settings cost each VM: bytes and processor time for the changes of a day, heap for
 * each branch, and the time until a change is in force on every VM by peers alone.
 */
public final class ConfigSlopes {

  private static final int[] BRANCH_COUNTS = {920, 9_200};
  private static final int[][] SIZES = {{21, 3}, {100, 4}, {410, 8}};
  private static final int CHANGES_A_DAY = 6_300;
  private static final int MEASURED_CHANGES = 2_000;
  private static final int SPREAD_CHANGES = 40;
  private static final long SEED = 20_261;

  /** Snapshots of a branch in a day, at a retention of one day. */
  private static final int SNAPSHOTS_A_DAY = 4;

  private static final double DAY_SECONDS = 86_400;
  private static final double NS_PER_US = 1_000;
  private static final double NS_PER_SECOND = 1e9;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Runs all sizes and prints one line of figures for each. */
  public void run(PrintStream out) {
    try {
      // The first run warms up the compiler and is not printed.
      load(BRANCH_COUNTS[0]);
      out.println(
          "branches recordB heapB/branch start_ms change_us snapshot_entry_us answer_us"
              + " read_B/s/vm cpu%/vm heapMB");
      for (int branches : BRANCH_COUNTS) {
        out.println(load(branches));
      }
    } catch (ConfigFormatException e) {
      throw new IllegalStateException("a record of the benchmark cannot be decoded", e);
    }
    out.println("vms spread_p50_ms spread_max_ms exchange_B/change/vm");
    for (int[] size : SIZES) {
      out.println(spread(size[0], size[1]));
    }
  }

  private String load(int branches) throws ConfigFormatException {
    List<Bytes> records = new ArrayList<>();
    for (int i = 0; i < branches; i++) {
      records.add(ConfigCodec.encode(change(i, ConfigState.ABSENT_VERSION, 0)));
    }
    long heapBefore = Heap.usedBytes();
    ConfigState state = new ConfigState();
    long startNs = threads.getCurrentThreadCpuTime();
    long offset = 0;
    for (Bytes each : records) {
      state.apply(offset++, ConfigCodec.decode(each));
    }
    state.effectiveSettings();
    long loadNs = threads.getCurrentThreadCpuTime() - startNs;
    double heapPerBranch = (Heap.usedBytes() - heapBefore) / (double) branches;

    double changeNs = changes(state, branches, offset);
    double entryNs = snapshotEntries(state, offset + MEASURED_CHANGES);
    double answerNs = answers(state);
    double snapshots = (double) branches * SNAPSHOTS_A_DAY;
    double bytesPerSecond = records.get(0).sizeBytes() * (CHANGES_A_DAY + snapshots) / DAY_SECONDS;
    double cpuSeconds = (CHANGES_A_DAY * changeNs + snapshots * entryNs) / NS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "%d %d %.0f %.0f %.0f %.1f %.0f %.0f %.4f %.1f",
        branches,
        records.get(0).sizeBytes(),
        heapPerBranch,
        loadNs / 1e6,
        changeNs / NS_PER_US,
        entryNs / NS_PER_US,
        answerNs / NS_PER_US,
        bytesPerSecond,
        100 * cpuSeconds / DAY_SECONDS,
        heapPerBranch * branches / 1e6);
  }

  /** Returns the processor time of one change: decode, decide and build the tree in force. */
  private double changes(ConfigState state, int branches, long firstOffset)
      throws ConfigFormatException {
    List<Bytes> changes = new ArrayList<>();
    for (int i = 0; i < MEASURED_CHANGES; i++) {
      int branch = i % branches;
      long base = i < branches ? branch : firstOffset + i - branches;
      changes.add(ConfigCodec.encode(change(branch, base, i + 1)));
    }
    long offset = firstOffset;
    long startNs = threads.getCurrentThreadCpuTime();
    for (Bytes each : changes) {
      if (!state.apply(offset++, ConfigCodec.decode(each)).accepted()) {
        throw new IllegalStateException("a change of the benchmark was refused");
      }
      state.effectiveSettings();
    }
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) MEASURED_CHANGES;
  }

  private double snapshotEntries(ConfigState state, long firstOffset) throws ConfigFormatException {
    List<BranchEntry> entries = state.branches();
    Bytes snapshot =
        ConfigCodec.encode(new ConfigRecord.Snapshot("s", 0, firstOffset - 1, entries));
    long startNs = threads.getCurrentThreadCpuTime();
    state.apply(firstOffset, ConfigCodec.decode(snapshot));
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) entries.size();
  }

  private double answers(ConfigState state) {
    ConfigPull pull = new ConfigPull(state.version() - 1);
    int sent = 0;
    long startNs = threads.getCurrentThreadCpuTime();
    for (int i = 0; i < MEASURED_CHANGES; i++) {
      sent += ConfigExchange.pushFor(state, pull, 64 * 1024).entries().size();
    }
    if (sent != MEASURED_CHANGES) {
      throw new IllegalStateException("answers had " + sent + " entries");
    }
    return (threads.getCurrentThreadCpuTime() - startNs) / (double) MEASURED_CHANGES;
  }

  private static String spread(int vms, int centres) {
    ConfigSpread cluster = new ConfigSpread(vms, centres, SEED);
    long[] spreadMs = new long[SPREAD_CHANGES];
    for (int i = 0; i < SPREAD_CHANGES; i++) {
      spreadMs[i] = cluster.spreadMs(yaml(0, i));
    }
    Arrays.sort(spreadMs);
    return String.format(
        Locale.ROOT,
        "%d %d %d %.0f",
        vms,
        spreadMs[SPREAD_CHANGES / 2],
        spreadMs[SPREAD_CHANGES - 1],
        cluster.exchangedBytes() / (double) SPREAD_CHANGES / vms);
  }

  private static ConfigRecord change(int branch, long base, int edition) {
    return new ConfigRecord.Published(
        "vm-1/1/" + branch + "-" + edition,
        new BranchName("teams/workspace-" + branch),
        base,
        Optional.of(yaml(branch, edition)),
        "operator",
        1_760_000_000_000L);
  }

  /** Returns a branch like that of the example tree, with two tokens and three kinds of program. */
  private static String yaml(int branch, int edition) {
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
        .formatted(2 * branch + 1, 2 * branch + 2, 1 + edition % 1_000);
  }
}
