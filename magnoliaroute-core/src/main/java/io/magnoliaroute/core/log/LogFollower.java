package io.magnoliaroute.core.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Reads one stream in offset order and returns each record once.
 *
 * <p>If the log no longer retains the next offset, the follower finds the first retained offset and
 * reports that a snapshot is needed. Not thread-safe.
 */
public final class LogFollower {

  private final String stream;
  private final int pageRecords;
  private long nextOffset;
  private long probeStep;
  private boolean snapshotNeeded;

  /**
   * Creates a follower.
   *
   * @param stream the stream to read
   * @param fromOffset the first offset to read
   * @param pageRecords the maximum number of records per read
   */
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

  /** Returns the next read to perform. */
  public ReadRequest nextRead() {
    if (probeStep > 0) {
      return new ReadRequest(stream, probedOffset(), 1);
    }
    return new ReadRequest(stream, nextOffset, pageRecords);
  }

  /** Processes the result of a read and returns the records that were not returned before. */
  public List<FollowedRecord> accept(ReadRequest request, LogPage page) {
    if (page.firstRetainedOffset() > nextOffset && !startsAtNext(page)) {
      nextOffset = page.firstRetainedOffset();
      probeStep = 0;
      snapshotNeeded = true;
      return List.of();
    }
    if (request.fromOffset() > nextOffset) {
      // The page starts past the next offset, after a probe or after resumeAt moved back to a
      // snapshot. The offsets in between must be read first.
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

  /** Processes the failure of a read. */
  public void recordFailure(LogException.Kind kind) {
    if (kind == LogException.Kind.OFFSET_EXPIRED) {
      // The failure does not include the first retained offset, so reads probe ahead in doubling
      // steps until one succeeds.
      probeStep = probeStep == 0 ? 1 : Math.min(probeStep * 2, Long.MAX_VALUE / 4);
    }
  }

  /** Returns whether unread records expired since the last {@link #resumeAt}. */
  public boolean isSnapshotNeeded() {
    return snapshotNeeded;
  }

  /** Resumes reading at the given offset, which follows the last offset covered by a snapshot. */
  public void resumeAt(long offset) {
    if (offset < 0) {
      throw new IllegalArgumentException("offset must not be negative, was " + offset);
    }
    nextOffset = offset;
    probeStep = 0;
    snapshotNeeded = false;
  }

  /** Returns the offset of the next record to read. */
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
