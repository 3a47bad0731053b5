package io.magnoliaroute.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Reads one stream in order of offset and passes each offset on once.
 *
 * <p>When the log no longer keeps the next offset, the follower finds the first one that is kept
 * and reports that a snapshot is needed. Not safe for use by several threads.
 */
public final class LogFollower {

  private final String stream;
  private final int pageRecords;
  private long nextOffset;
  private long probeStep;
  private boolean snapshotNeeded;

  /** Starts at the given offset. */
  public LogFollower(String stream, long fromOffset, int pageRecords) {
    this.stream = Objects.requireNonNull(stream, "stream");
    if (fromOffset < 0) {
      throw new IllegalArgumentException("fromOffset must not be negative, was " + fromOffset);
    }
    if (pageRecords < 1) {
      throw new IllegalArgumentException("pageRecords must be positive, was " + pageRecords);
    }
    this.nextOffset = fromOffset;
    this.pageRecords = pageRecords;
  }

  /** Returns the read to carry out next. */
  public ReadRequest nextRead() {
    if (probeStep > 0) {
      return new ReadRequest(stream, probedOffset(), 1);
    }
    return new ReadRequest(stream, nextOffset, pageRecords);
  }

  /** Takes the answer to a read and returns the records that were not passed on before. */
  public List<FollowedRecord> accept(ReadRequest request, LogPage page) {
    if (page.firstRetainedOffset() > nextOffset && !startsAtNext(page)) {
      nextOffset = page.firstRetainedOffset();
      probeStep = 0;
      snapshotNeeded = true;
      return List.of();
    }
    if (request.fromOffset() > nextOffset) {
      // Offsets in between were not read, as after a probe or a move back to a snapshot.
      probeStep = 0;
      return List.of();
    }
    List<FollowedRecord> records = new ArrayList<>();
    for (LogEntry entry : page.entries()) {
      if (entry.offset() >= nextOffset) {
        records.add(FollowedRecord.decode(entry));
        nextOffset = entry.offset() + 1;
      }
    }
    return records;
  }

  /** Takes the failure of a read. */
  public void failed(LogException.Kind kind) {
    if (kind == LogException.Kind.OFFSET_EXPIRED) {
      // The failure does not say which offset is kept, so reads step ahead until one succeeds.
      probeStep = probeStep == 0 ? 1 : Math.min(probeStep * 2, Long.MAX_VALUE / 4);
    }
  }

  /** Returns whether records were lost to retention since the last {@link #resumeAt}. */
  public boolean snapshotNeeded() {
    return snapshotNeeded;
  }

  /** Continues at the offset after the last one that a snapshot covers. */
  public void resumeAt(long offset) {
    if (offset < 0) {
      throw new IllegalArgumentException("offset must not be negative, was " + offset);
    }
    nextOffset = offset;
    probeStep = 0;
    snapshotNeeded = false;
  }

  /** Returns the offset of the next record wanted. */
  public long nextOffset() {
    return nextOffset;
  }

  private boolean startsAtNext(LogPage page) {
    return !page.entries().isEmpty() && page.entries().get(0).offset() <= nextOffset;
  }

  private long probedOffset() {
    return Long.MAX_VALUE - nextOffset < probeStep ? Long.MAX_VALUE : nextOffset + probeStep;
  }
}
