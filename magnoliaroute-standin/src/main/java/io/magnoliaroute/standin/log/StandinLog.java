package io.magnoliaroute.standin.log;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * An in-memory append-only log that reproduces the faults of the platform's log: outages, lost
 * responses, appends that take effect after their timeout, and limited retention.
 */
public final class StandinLog implements LogPort {

  private final Map<String, Stream> streams = new HashMap<>();
  private final List<DelayedAppend> delayedAppends = new ArrayList<>();
  private final int retainedRecords;
  private boolean outage;
  private int responsesToLose;
  private int appendsToDelay;
  private long appendCount;

  /**
   * Creates a log that retains the most recent records of each stream.
   *
   * @param retainedRecords maximum number of records to retain for each stream
   */
  public StandinLog(int retainedRecords) {
    if (retainedRecords < 1) {
      throw new IllegalArgumentException(
          "retainedRecords must be positive, was " + retainedRecords);
    }
    this.retainedRecords = retainedRecords;
  }

  /** Creates a log that retains all records. */
  public StandinLog() {
    this(Integer.MAX_VALUE);
  }

  @Override
  public synchronized CompletionStage<Long> append(String stream, List<Bytes> records) {
    if (outage) {
      return failedStage(LogException.Kind.UNAVAILABLE, "log outage, stream " + stream);
    }
    if (appendsToDelay > 0) {
      appendsToDelay--;
      delayedAppends.add(new DelayedAppend(stream, List.copyOf(records)));
      return failedStage(LogException.Kind.TIMED_OUT, "append delayed, stream " + stream);
    }
    long first = apply(stream, records);
    if (responsesToLose > 0) {
      responsesToLose--;
      return failedStage(LogException.Kind.TIMED_OUT, "answer lost, stream " + stream);
    }
    return CompletableFuture.completedStage(first);
  }

  @Override
  public synchronized CompletionStage<LogPage> read(
      String stream, long fromOffset, int maxRecords) {
    if (outage) {
      return failedStage(LogException.Kind.UNAVAILABLE, "log outage, stream " + stream);
    }
    Stream retained = streams.computeIfAbsent(stream, name -> new Stream());
    if (fromOffset < retained.firstOffset) {
      return failedStage(
          LogException.Kind.OFFSET_EXPIRED,
          "offset " + fromOffset + " of " + stream + " is before " + retained.firstOffset);
    }
    return CompletableFuture.completedStage(retained.page(fromOffset, maxRecords));
  }

  /** Starts or ends an outage, during which every operation fails. */
  public synchronized void setOutage(boolean outage) {
    this.outage = outage;
  }

  /** Makes the next appends take effect but time out, as if the response was lost. */
  public synchronized void loseNextResponses(int count) {
    this.responsesToLose = count;
  }

  /** Makes the next appends time out and take effect only with {@link #applyDelayedAppends()}. */
  public synchronized void delayNextAppends(int count) {
    this.appendsToDelay = count;
  }

  /** Applies all delayed appends in the order of their arrival. */
  public synchronized void applyDelayedAppends() {
    for (DelayedAppend append : delayedAppends) {
      apply(append.stream(), append.records());
    }
    delayedAppends.clear();
  }

  /** Returns the number of appends that have taken effect. */
  public synchronized long appendCount() {
    return appendCount;
  }

  private long apply(String stream, List<Bytes> records) {
    appendCount++;
    return streams.computeIfAbsent(stream, name -> new Stream()).add(records, retainedRecords);
  }

  private static <T> CompletionStage<T> failedStage(LogException.Kind kind, String message) {
    return CompletableFuture.failedStage(new LogException(kind, message));
  }

  private record DelayedAppend(String stream, List<Bytes> records) {}

  private static final class Stream {

    private final List<Bytes> records = new ArrayList<>();
    private long firstOffset;

    long add(List<Bytes> added, int retainedRecords) {
      long first = firstOffset + records.size();
      records.addAll(added);
      int expired = records.size() - retainedRecords;
      if (expired > 0) {
        records.subList(0, expired).clear();
        firstOffset += expired;
      }
      return first;
    }

    LogPage page(long fromOffset, int maxRecords) {
      long end = firstOffset + records.size();
      List<LogEntry> entries = new ArrayList<>();
      long offset = fromOffset;
      while (offset < end && entries.size() < maxRecords) {
        entries.add(new LogEntry(offset, records.get((int) (offset - firstOffset))));
        offset++;
      }
      return new LogPage(entries, offset, firstOffset);
    }
  }
}
