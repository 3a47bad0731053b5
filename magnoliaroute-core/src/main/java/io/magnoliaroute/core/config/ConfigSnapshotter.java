package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Creates snapshots of branches before their last records expire from the log. */
public final class ConfigSnapshotter {

  /** A snapshot record is closed after the entry with which it reaches this size. */
  private static final int SNAPSHOT_TARGET_BYTES = 256 * 1024;

  /** Divisor of the retention: a snapshot that is not read back within the quotient is retried. */
  private static final int RETRY_DIVISOR = 16;

  private final SnapshotSchedule schedule;
  private final String writer;
  private final Map<BranchName, Long> sentMs = new HashMap<>();
  private long nextRecord = 1;

  /**
   * Creates a snapshotter.
   *
   * @param schedule when this VM writes snapshots
   * @param writer the incarnation of this VM, the prefix of its record ids
   */
  public ConfigSnapshotter(SnapshotSchedule schedule, String writer) {
    this.schedule = schedule;
    this.writer = writer;
  }

  /**
   * Returns the snapshots to append now.
   *
   * <p>Call this only after a read that reached the end of the stream: a snapshot written by a
   * lagging reader would count as current without including the latest records.
   */
  public List<ConfigRecord> poll(ConfigState state, Collection<VmId> live, long nowMs) {
    if (!state.isCaughtUp()) {
      return List.of();
    }
    List<ConfigRecord> records = new ArrayList<>();
    List<BranchEntry> entries = new ArrayList<>();
    int sizeBytes = 0;
    for (ConfigState.BranchAge branch : state.branchAges()) {
      if (!isDue(branch, live, nowMs)) {
        continue;
      }
      sentMs.put(branch.entry().branch(), nowMs);
      entries.add(branch.entry());
      sizeBytes += branch.entry().sizeBytes();
      if (sizeBytes >= SNAPSHOT_TARGET_BYTES) {
        records.add(snapshot(state, entries, nowMs));
        entries.clear();
        sizeBytes = 0;
      }
    }
    if (!entries.isEmpty()) {
      records.add(snapshot(state, entries, nowMs));
    }
    return records;
  }

  private boolean isDue(ConfigState.BranchAge branch, Collection<VmId> live, long nowMs) {
    Long lastSentMs = sentMs.get(branch.entry().branch());
    if (lastSentMs != null && nowMs - lastSentMs < schedule.retentionMs() / RETRY_DIVISOR) {
      return false;
    }
    return schedule.isDue(branch.entry().branch().value(), branch.lastSnapshotMs(), live, nowMs);
  }

  private ConfigRecord snapshot(ConfigState state, List<BranchEntry> entries, long nowMs) {
    return new ConfigRecord.Snapshot(
        writer + "/config-snapshot/" + nextRecord++, nowMs, state.lastOffset(), entries);
  }
}
