package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes the snapshots that carry branches forward before the log drops them. */
public final class ConfigCarryForward {

  /** A snapshot record ends after the entry that reaches this size. */
  private static final int SNAPSHOT_BYTES = 256 * 1024;

  /** The retention divided by this is the wait for an own snapshot to be read back. */
  private static final int REPEAT_DIVISOR = 16;

  private final CarryForwardSchedule schedule;
  private final String writer;
  private final Map<BranchName, Long> sentMs = new HashMap<>();
  private long nextRecord = 1;

  /**
   * Makes a controller.
   *
   * @param schedule when this VM acts
   * @param writer the incarnation of this VM; record ids start with it
   */
  public ConfigCarryForward(CarryForwardSchedule schedule, String writer) {
    this.schedule = schedule;
    this.writer = writer;
  }

  /**
   * Returns the snapshots to append now.
   *
   * <p>Call this only after a read that reached the end of the stream: a snapshot by a reader that
   * lags would count as carried without including the latest records.
   */
  public List<ConfigRecord> poll(ConfigState state, Collection<VmId> live, long nowMs) {
    if (!state.caughtUp()) {
      return List.of();
    }
    List<ConfigRecord> records = new ArrayList<>();
    List<BranchEntry> entries = new ArrayList<>();
    int sizeBytes = 0;
    for (ConfigState.CarriedBranch each : state.carried()) {
      if (!due(each, live, nowMs)) {
        continue;
      }
      sentMs.put(each.entry().branch(), nowMs);
      entries.add(each.entry());
      sizeBytes += each.entry().sizeBytes();
      if (sizeBytes >= SNAPSHOT_BYTES) {
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

  private boolean due(ConfigState.CarriedBranch each, Collection<VmId> live, long nowMs) {
    Long lastSentMs = sentMs.get(each.entry().branch());
    if (lastSentMs != null && nowMs - lastSentMs < schedule.retentionMs() / REPEAT_DIVISOR) {
      return false;
    }
    return schedule.due(each.entry().branch().value(), each.carriedMs(), live, nowMs);
  }

  private ConfigRecord snapshot(ConfigState state, List<BranchEntry> entries, long nowMs) {
    return new ConfigRecord.Snapshot(
        writer + "/config-snapshot/" + nextRecord++, nowMs, state.lastOffset(), entries);
  }
}
