package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.RecordIdGenerator;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Determines when the owner of a partition must write a snapshot, and creates its records.
 *
 * <p>A snapshot is due a quarter of the retention time after the previous one and is retried every
 * sixteenth of it, so that one is written before half of the retention time has passed even if some
 * attempts fail.
 */
public final class SnapshotPlanner {

  private static final int INTERVAL_DIVISOR = 4;
  private static final int RETRY_DIVISOR = 16;

  private final long retentionMs;
  private final int partBytes;
  private OptionalLong lastPlannedAtMs = OptionalLong.empty();

  /**
   * Creates a planner.
   *
   * @param retentionMs the retention time of the log
   * @param partBytes the maximum size of a part; a single larger entry forms a part of its own
   */
  public SnapshotPlanner(long retentionMs, int partBytes) {
    if (retentionMs < RETRY_DIVISOR) {
      throw new IllegalArgumentException(
          "retentionMs must be at least " + RETRY_DIVISOR + ", was " + retentionMs);
    }
    if (partBytes < 1) {
      throw new IllegalArgumentException("partBytes must be positive, was " + partBytes);
    }
    this.retentionMs = retentionMs;
    this.partBytes = partBytes;
  }

  /** Returns whether a snapshot is due at the given wall-clock time. */
  public boolean isDue(PartitionReader reader, long nowMs) {
    if (!reader.isComplete() || reader.state().lastOffset() < 0) {
      return false;
    }
    if (nowMs - lastPlannedAtMs.orElse(Long.MIN_VALUE / 2) < retentionMs / RETRY_DIVISOR) {
      return false;
    }
    OptionalLong writtenAtMs = reader.snapshotWrittenAtMs();
    return writtenAtMs.isEmpty()
        || nowMs - writtenAtMs.getAsLong() >= retentionMs / INTERVAL_DIVISOR;
  }

  /**
   * Returns the records of a snapshot of the state, in append order.
   *
   * <p>The caller passes them to the committer one at a time, each when few other records are
   * queued there, so that a large snapshot does not delay turns. It discards the remaining records
   * when it loses its claim.
   */
  public List<ProgramRecord.Snapshot> plan(
      PartitionState state, RecordIdGenerator ids, long nowMs) {
    lastPlannedAtMs = OptionalLong.of(nowMs);
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
