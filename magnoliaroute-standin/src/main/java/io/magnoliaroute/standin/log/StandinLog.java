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
 * An append-only log in memory with the faults of the platform's log: outage, lost answers, appends
 * that land after their timeout, and limited retention.
 */
public final class StandinLog implements LogPort {

  private final Map<String, Stream> streams = new HashMap<>();
  private final List<LateAppend> lateAppends = new ArrayList<>();
  private final int retainedRecords;
  private boolean outage;
  private int answersToLose;
  private int appendsToDelay;
  private long appendCount;

  /** Makes a log that keeps the last {@code retainedRecords} records of each stream. */
  public StandinLog(int retainedRecords) {
    if (retainedRecords < 1) {
      throw new IllegalArgumentException(
          "retainedRecords must be positive, was " + retainedRecords);
    }
    this.retainedRecords = retainedRecords;
  }

  /** Makes a log that keeps all records. */
  public StandinLog() {
    this(Integer.MAX_VALUE);
  }

  @Override
  public synchronized CompletionStage<Long> append(String stream, List<Bytes> records) {
    if (outage) {
      return failed(LogException.Kind.UNAVAILABLE, "log outage, stream " + stream);
    }
    if (appendsToDelay > 0) {
      appendsToDelay--;
      lateAppends.add(new LateAppend(stream, List.copyOf(records)));
      return failed(LogException.Kind.TIMED_OUT, "append delayed, stream " + stream);
    }
    long first = land(stream, records);
    if (answersToLose > 0) {
      answersToLose--;
      return failed(LogException.Kind.TIMED_OUT, "answer lost, stream " + stream);
    }
    return CompletableFuture.completedStage(first);
  }

  @Override
  public synchronized CompletionStage<LogPage> read(
      String stream, long fromOffset, int maxRecords) {
    if (outage) {
      return failed(LogException.Kind.UNAVAILABLE, "log outage, stream " + stream);
    }
    Stream kept = streams.computeIfAbsent(stream, name -> new Stream());
    if (fromOffset < kept.firstOffset) {
      return failed(
          LogException.Kind.OFFSET_EXPIRED,
          "offset " + fromOffset + " of " + stream + " is before " + kept.firstOffset);
    }
    return CompletableFuture.completedStage(kept.page(fromOffset, maxRecords));
  }

  /** Starts or ends an outage, during which every operation is refused. */
  public synchronized void setOutage(boolean outage) {
    this.outage = outage;
  }

  /** Makes the next appends take effect without an answer. */
  public synchronized void loseNextAnswers(int count) {
    this.answersToLose = count;
  }

  /** Makes the next appends time out and take effect only in {@link #landLateAppends()}. */
  public synchronized void delayNextAppends(int count) {
    this.appendsToDelay = count;
  }

  /** Lets the delayed appends take effect now, in the order of their arrival. */
  public synchronized void landLateAppends() {
    for (LateAppend late : lateAppends) {
      land(late.stream(), late.records());
    }
    lateAppends.clear();
  }

  /** Returns the number of appends that took effect. */
  public synchronized long appendCount() {
    return appendCount;
  }

  private long land(String stream, List<Bytes> records) {
    appendCount++;
    return streams.computeIfAbsent(stream, name -> new Stream()).add(records, retainedRecords);
  }

  private static <T> CompletionStage<T> failed(LogException.Kind kind, String message) {
    return CompletableFuture.failedStage(new LogException(kind, message));
  }

  private record LateAppend(String stream, List<Bytes> records) {}

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
