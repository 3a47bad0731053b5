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
 * One stream with delays, appends that land late, lost answers, outages and retention.
 *
 * <p>A record past the retention time is kept until a snapshot covers it: the faults leave the
 * partition without an owner for longer than any owner-written snapshot can allow for. Sequences in
 * which that happens are counted, so that snapshots which come late in general are seen.
 */
final class FakeLog {

  private static final long TIMEOUT_MS = 200;

  private final VirtualTime time;
  private final long retentionMs;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Long> landedAtMs = new ArrayList<>();
  private long downUntilMs;
  private int firstRetained;
  private final Map<String, Set<Integer>> snapshots = new HashMap<>();
  private long coveredOffset = -1;
  private boolean keptPastRetention;
  private boolean healed;

  FakeLog(VirtualTime time, long retentionMs) {
    this.time = time;
    this.retentionMs = retentionMs;
  }

  void takeDown(long durationMs) {
    downUntilMs = time.nowMs() + durationMs;
  }

  void heal() {
    downUntilMs = 0;
    healed = true;
  }

  List<LogEntry> everything() {
    return List.copyOf(entries);
  }

  void append(List<Bytes> records, LongConsumer done, Consumer<LogException.Kind> failed) {
    if (down()) {
      boolean refused = time.chance(0.6);
      time.in(
          refused ? 5 : TIMEOUT_MS,
          () ->
              failed.accept(refused ? LogException.Kind.UNAVAILABLE : LogException.Kind.TIMED_OUT));
      if (!refused && time.chance(0.5)) {
        time.in(time.between(10, 4_000), () -> land(records));
      }
      return;
    }
    if (!healed && time.chance(0.04)) {
      time.in(3, () -> failed.accept(LogException.Kind.UNAVAILABLE));
      return;
    }
    if (!healed && time.chance(0.16)) {
      appendWithoutAnswer(records, done, failed);
      return;
    }
    long landsInMs = time.between(1, 15);
    time.in(landsInMs, () -> answer(land(records), done));
  }

  void read(ReadRequest request, Consumer<LogPage> done, Consumer<LogException.Kind> failed) {
    if (down()) {
      time.in(5, () -> failed.accept(LogException.Kind.UNAVAILABLE));
      return;
    }
    time.in(
        time.between(1, 8),
        () -> {
          LogPage page = pageAt(request);
          long answerInMs = !healed && time.chance(0.05) ? time.between(100, 900) : 3;
          time.in(
              answerInMs,
              () -> {
                if (page == null) {
                  failed.accept(LogException.Kind.OFFSET_EXPIRED);
                } else {
                  done.accept(page);
                }
              });
        });
  }

  /** Returns the page, or null when the offset has expired. */
  LogPage pageAt(ReadRequest request) {
    while (firstRetained < entries.size()
        && landedAtMs.get(firstRetained) < time.nowMs() - retentionMs) {
      if (firstRetained > coveredOffset) {
        keptPastRetention = true;
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

  private void appendWithoutAnswer(
      List<Bytes> records, LongConsumer done, Consumer<LogException.Kind> failed) {
    time.in(TIMEOUT_MS, () -> failed.accept(LogException.Kind.TIMED_OUT));
    if (time.chance(0.3)) {
      return;
    }
    boolean lateAnswer = time.chance(0.3);
    time.in(
        time.between(1, time.chance(0.5) ? 100 : 6_000),
        () -> {
          long offset = land(records);
          if (lateAnswer) {
            time.in(TIMEOUT_MS, () -> done.accept(offset));
          }
        });
  }

  private void answer(long offset, LongConsumer done) {
    time.in(time.between(1, 10), () -> done.accept(offset));
  }

  private long land(List<Bytes> records) {
    long first = entries.size();
    for (Bytes record : records) {
      entries.add(new LogEntry(entries.size(), record));
      noteSnapshot(record);
      landedAtMs.add(time.nowMs());
    }
    return first;
  }

  private void noteSnapshot(Bytes payload) {
    try {
      var record = ProgramRecordCodec.fromLogRecord(LogRecordCodec.decode(payload)).orElseThrow();
      if (record instanceof ProgramRecord.Snapshot part) {
        String snapshot = part.id().writer() + "/" + part.asOfOffset();
        Set<Integer> parts = snapshots.computeIfAbsent(snapshot, key -> new HashSet<>());
        parts.add(part.part());
        boolean complete = parts.size() == part.parts();
        coveredOffset = complete ? Math.max(coveredOffset, part.asOfOffset()) : coveredOffset;
      }
    } catch (MalformedRecordException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean droppedRecords() {
    return firstRetained > 0;
  }

  boolean keptPastRetention() {
    return keptPastRetention;
  }

  private boolean down() {
    return time.nowMs() < downUntilMs;
  }
}
