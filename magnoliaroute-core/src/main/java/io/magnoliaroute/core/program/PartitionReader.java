package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.FollowedRecord;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogFollower;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogRecord;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.ReadRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads the stream of one partition and maintains the partition's state.
 *
 * <p>If records expired before they were read, the reader skips records until it has read every
 * part of a snapshot, restores the state from it and continues at the offset after the last one
 * that the snapshot covers. Until then the state is incomplete. Not thread-safe.
 */
public final class PartitionReader {

  /**
   * The result of processing one page of the log.
   *
   * @param applied the applied records with their verdicts
   * @param isRestored whether the state was restored from a snapshot, in which case verdicts of
   *     records that it covers may be missing
   */
  public record ReadResult(List<AppliedRecord> applied, boolean isRestored) {

    /** Copies the records. */
    public ReadResult {
      applied = List.copyOf(applied);
    }
  }

  private final LogFollower follower;
  private final PartitionState state = new PartitionState();
  private final SnapshotAssembler snapshotAssembler = new SnapshotAssembler();
  private long firstRetainedOffset;
  private OptionalLong caughtUpAtMs = OptionalLong.empty();
  private OptionalLong snapshotWrittenAtMs = OptionalLong.empty();
  private long malformed;
  private long unknownKinds;

  /** Creates a reader that starts at the beginning of the stream. */
  public PartitionReader(String stream, int pageRecords) {
    this.follower = new LogFollower(stream, 0, pageRecords);
  }

  /** Returns the next read request. */
  public ReadRequest nextRead() {
    return follower.nextRead();
  }

  /**
   * Processes the response to a read request.
   *
   * @param issuedAtMs the monotonic time, taken before the read was issued
   */
  public ReadResult accept(ReadRequest request, LogPage page, long issuedAtMs) {
    firstRetainedOffset = Math.max(firstRetainedOffset, page.firstRetainedOffset());
    boolean wasScanning = follower.isSnapshotNeeded();
    List<FollowedRecord> records = follower.accept(request, page);
    if (follower.isSnapshotNeeded()) {
      if (!wasScanning) {
        startSnapshotScan();
      }
      return new ReadResult(List.of(), scanForSnapshot(records));
    }
    List<AppliedRecord> applied = applyAll(records);
    boolean endReached = page.entries().isEmpty() && request.fromOffset() <= follower.nextOffset();
    if (endReached && issuedAtMs > caughtUpAtMs.orElse(Long.MIN_VALUE)) {
      caughtUpAtMs = OptionalLong.of(issuedAtMs);
    }
    return new ReadResult(applied, false);
  }

  /** Processes the failure of a read. */
  public void onReadFailed(LogException.Kind kind) {
    follower.recordFailure(kind);
  }

  /** Returns the state, which is complete only while {@link #isComplete} returns true. */
  public PartitionState state() {
    return state;
  }

  /** Returns whether the state includes every record up to the last one read. */
  public boolean isComplete() {
    return !follower.isSnapshotNeeded();
  }

  /**
   * Returns the issue time of the newest read that reached the end of the stream, or empty if the
   * state is incomplete. The state includes all records that the log held at that time.
   */
  public OptionalLong caughtUpAtMs() {
    return isComplete() ? caughtUpAtMs : OptionalLong.empty();
  }

  /** Returns the wall-clock time at which the newest complete snapshot was written. */
  public OptionalLong snapshotWrittenAtMs() {
    return snapshotWrittenAtMs;
  }

  /** Returns the number of records that could not be decoded. */
  public long malformed() {
    return malformed;
  }

  /** Returns the number of records of a kind that this release does not know. */
  public long unknownKinds() {
    return unknownKinds;
  }

  private List<AppliedRecord> applyAll(List<FollowedRecord> records) {
    List<AppliedRecord> applied = new ArrayList<>(records.size());
    for (FollowedRecord followed : records) {
      Optional<ProgramRecord> record = decode(followed);
      if (record.isEmpty()) {
        state.skip(followed.offset());
        continue;
      }
      applied.add(apply(followed.offset(), record.get()));
    }
    return applied;
  }

  private AppliedRecord apply(long offset, ProgramRecord record) {
    if (record instanceof ProgramRecord.Snapshot part) {
      snapshotAssembler.add(part).ifPresent(this::updateSnapshotWrittenAtMs);
    }
    return new AppliedRecord(offset, record, state.apply(offset, record));
  }

  private void startSnapshotScan() {
    caughtUpAtMs = OptionalLong.empty();
    snapshotAssembler.clear();
  }

  private boolean scanForSnapshot(List<FollowedRecord> records) {
    for (FollowedRecord followed : records) {
      Optional<ProgramRecord> record = decode(followed);
      if (record.isEmpty() || !(record.get() instanceof ProgramRecord.Snapshot part)) {
        continue;
      }
      Optional<SnapshotAssembler.CompleteSnapshot> complete = snapshotAssembler.add(part);
      if (complete.isPresent() && tryRestore(complete.get())) {
        return true;
      }
    }
    return false;
  }

  private boolean tryRestore(SnapshotAssembler.CompleteSnapshot snapshot) {
    updateSnapshotWrittenAtMs(snapshot);
    boolean contiguousWithLog = snapshot.asOfOffset() + 1 >= firstRetainedOffset;
    if (!contiguousWithLog || !snapshot.isConsistent()) {
      return false;
    }
    if (!state.restore(snapshot.asOfOffset(), snapshot.entries())) {
      return false;
    }
    follower.resumeAt(snapshot.asOfOffset() + 1);
    snapshotAssembler.clear();
    return true;
  }

  private void updateSnapshotWrittenAtMs(SnapshotAssembler.CompleteSnapshot snapshot) {
    long writtenAtMs = Math.max(snapshot.writtenAtMs(), snapshotWrittenAtMs.orElse(0));
    snapshotWrittenAtMs = OptionalLong.of(writtenAtMs);
  }

  private Optional<ProgramRecord> decode(FollowedRecord followed) {
    if (followed.record().isEmpty()) {
      malformed++;
      return Optional.empty();
    }
    LogRecord record = followed.record().get();
    try {
      Optional<ProgramRecord> decoded = ProgramRecordCodec.fromLogRecord(record);
      unknownKinds += decoded.isEmpty() ? 1 : 0;
      return decoded;
    } catch (MalformedRecordException e) {
      malformed++;
      return Optional.empty();
    }
  }
}
