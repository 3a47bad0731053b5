package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordSequence;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides when an owner writes a snapshot of its partition, and makes its records.
 *
 * <p>A snapshot is due after a quarter of the retention time and is tried again every sixteenth, so
 * that one lands before half of the time has passed although some tries fail.
 */
public final class SnapshotPlanner {

  private static final int DUE_DIVISOR = 4;
  private static final int REPEAT_DIVISOR = 16;

  private final long retentionMs;
  private final int partBytes;
  private OptionalLong plannedAtMs = OptionalLong.empty();

  /**
   * Makes a planner.
   *
   * @param retentionMs the time for which the log keeps records
   * @param partBytes the size of one part; a single longer entry still makes a part of its own
   */
  public SnapshotPlanner(long retentionMs, int partBytes) {
    if (retentionMs < REPEAT_DIVISOR) {
      throw new IllegalArgumentException("retentionMs is too short: " + retentionMs);
    }
    if (partBytes < 1) {
      throw new IllegalArgumentException("partBytes must be positive, was " + partBytes);
    }
    this.retentionMs = retentionMs;
    this.partBytes = partBytes;
  }

  /** Returns whether the owner must write a snapshot now; the time is the wall clock's. */
  public boolean due(PartitionReader reader, long nowMs) {
    if (!reader.complete() || reader.state().lastOffset() < 0) {
      return false;
    }
    if (nowMs - plannedAtMs.orElse(Long.MIN_VALUE / 2) < retentionMs / REPEAT_DIVISOR) {
      return false;
    }
    OptionalLong writtenAtMs = reader.snapshotWrittenAtMs();
    return writtenAtMs.isEmpty() || nowMs - writtenAtMs.getAsLong() >= retentionMs / DUE_DIVISOR;
  }

  /**
   * Returns the records of a snapshot of the state, in the order in which to append them.
   *
   * <p>The driver adds them to the committer one at a time, each when little else is held there, so
   * that turns do not wait behind a large snapshot. It drops the rest when it loses its claim.
   */
  public List<ProgramRecord.Snapshot> plan(PartitionState state, RecordSequence ids, long nowMs) {
    plannedAtMs = OptionalLong.of(nowMs);
    List<List<SnapshotEntry>> parts = split(state.entries());
    List<ProgramRecord.Snapshot> records = new ArrayList<>(parts.size());
    for (int i = 0; i < parts.size(); i++) {
      records.add(
          new ProgramRecord.Snapshot(
              ids.next(), state.lastOffset(), nowMs, i, parts.size(), parts.get(i)));
    }
    return records;
  }

  private List<List<SnapshotEntry>> split(List<SnapshotEntry> entries) {
    List<List<SnapshotEntry>> parts = new ArrayList<>();
    List<SnapshotEntry> part = new ArrayList<>();
    long sizeBytes = 0;
    for (SnapshotEntry entry : entries) {
      int entryBytes = SnapshotEntryCodec.encode(entry).sizeBytes();
      if (!part.isEmpty() && sizeBytes + entryBytes > partBytes) {
        parts.add(part);
        part = new ArrayList<>();
        sizeBytes = 0;
      }
      part.add(entry);
      sizeBytes += entryBytes;
    }
    parts.add(part);
    return parts;
  }
}
