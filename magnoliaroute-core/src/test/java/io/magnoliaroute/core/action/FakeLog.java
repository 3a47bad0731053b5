package io.magnoliaroute.core.action;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogRecordCodec;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * An in-memory stream that simulates delays, late appends, lost responses, outages and retention.
 *
 * <p>A record past the retention time is retained until a snapshot covers it, because the injected
 * faults can leave the partition without an owner, and so without new snapshots, for longer than
 * the snapshot interval allows for. {@link SequenceTest} counts the sequences in which this
 * happens, to detect snapshots that are generally written too late.
 */
final class FakeLog {

  private static final long TIMEOUT_MS = 200;

  private final VirtualTime time;
  private final long retentionMs;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Long> appendedAtMs = new ArrayList<>();
  private long outageEndMs;
  private int firstRetained;
  private final Map<String, Set<Integer>> partsBySnapshot = new HashMap<>();
  private long snapshotOffset = -1;
  private boolean hasRetainedPastRetention;
  private boolean faultsEnded;

  FakeLog(VirtualTime time, long retentionMs) {
    this.time = time;
    this.retentionMs = retentionMs;
  }

  void startOutage(long durationMs) {
    outageEndMs = time.nowMs() + durationMs;
  }

  void endFaults() {
    outageEndMs = 0;
    faultsEnded = true;
  }

  List<LogEntry> allEntries() {
    return List.copyOf(entries);
  }

  void append(List<Bytes> records, LongConsumer onSuccess, Consumer<LogException.Kind> onFailure) {
    if (isDown()) {
      boolean unavailable = time.randomBoolean(0.6);
      time.schedule(
          unavailable ? 5 : TIMEOUT_MS,
          () ->
              onFailure.accept(
                  unavailable ? LogException.Kind.UNAVAILABLE : LogException.Kind.TIMED_OUT));
      if (!unavailable && time.randomBoolean(0.5)) {
        time.schedule(time.randomBetween(10, 4_000), () -> appendEntries(records));
      }
      return;
    }
    if (!faultsEnded && time.randomBoolean(0.04)) {
      time.schedule(3, () -> onFailure.accept(LogException.Kind.UNAVAILABLE));
      return;
    }
    if (!faultsEnded && time.randomBoolean(0.16)) {
      appendWithTimeout(records, onSuccess, onFailure);
      return;
    }
    long appendInMs = time.randomBetween(1, 15);
    time.schedule(appendInMs, () -> respond(appendEntries(records), onSuccess));
  }

  void read(
      ReadRequest request, Consumer<LogPage> onSuccess, Consumer<LogException.Kind> onFailure) {
    if (isDown()) {
      time.schedule(5, () -> onFailure.accept(LogException.Kind.UNAVAILABLE));
      return;
    }
    time.schedule(
        time.randomBetween(1, 8),
        () -> {
          LogPage page = pageAt(request);
          long responseInMs =
              !faultsEnded && time.randomBoolean(0.05) ? time.randomBetween(100, 900) : 3;
          time.schedule(
              responseInMs,
              () -> {
                if (page == null) {
                  onFailure.accept(LogException.Kind.OFFSET_EXPIRED);
                } else {
                  onSuccess.accept(page);
                }
              });
        });
  }

  /** Returns the requested page, or null if the offset has expired. */
  LogPage pageAt(ReadRequest request) {
    while (firstRetained < entries.size()
        && appendedAtMs.get(firstRetained) < time.nowMs() - retentionMs) {
      if (firstRetained > snapshotOffset) {
        hasRetainedPastRetention = true;
        break;
      }
      firstRetained++;
    }
    if (request.fromOffset() < firstRetained) {
      return null;
    }
    int from = (int) Math.min(request.fromOffset(), entries.size());
    int to = Math.min(entries.size(), from + request.maxRecords());
    long next = Math.max(request.fromOffset(), to);
    return new LogPage(entries.subList(from, to), next, firstRetained);
  }

  private void appendWithTimeout(
      List<Bytes> records, LongConsumer onSuccess, Consumer<LogException.Kind> onFailure) {
    time.schedule(TIMEOUT_MS, () -> onFailure.accept(LogException.Kind.TIMED_OUT));
    if (time.randomBoolean(0.3)) {
      return;
    }
    boolean lateResponse = time.randomBoolean(0.3);
    time.schedule(
        time.randomBetween(1, time.randomBoolean(0.5) ? 100 : 6_000),
        () -> {
          long offset = appendEntries(records);
          if (lateResponse) {
            time.schedule(TIMEOUT_MS, () -> onSuccess.accept(offset));
          }
        });
  }

  private void respond(long offset, LongConsumer onSuccess) {
    time.schedule(time.randomBetween(1, 10), () -> onSuccess.accept(offset));
  }

  private long appendEntries(List<Bytes> records) {
    long firstOffset = entries.size();
    for (Bytes record : records) {
      entries.add(new LogEntry(entries.size(), record));
      trackSnapshot(record);
      appendedAtMs.add(time.nowMs());
    }
    return firstOffset;
  }

  private void trackSnapshot(Bytes payload) {
    try {
      var record = ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(payload)).orElseThrow();
      if (record instanceof ProgramRecord.Snapshot part) {
        String snapshot = part.id().writer() + "/" + part.asOfOffset();
        Set<Integer> parts = partsBySnapshot.computeIfAbsent(snapshot, key -> new HashSet<>());
        parts.add(part.part());
        boolean complete = parts.size() == part.parts();
        snapshotOffset = complete ? Math.max(snapshotOffset, part.asOfOffset()) : snapshotOffset;
      }
    } catch (MalformedRecordException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean hasDroppedRecords() {
    return firstRetained > 0;
  }

  boolean hasRetainedPastRetention() {
    return hasRetainedPastRetention;
  }

  private boolean isDown() {
    return time.nowMs() < outageEndMs;
  }
}
