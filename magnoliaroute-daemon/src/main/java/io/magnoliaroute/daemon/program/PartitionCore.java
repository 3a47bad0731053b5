package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.AbandonResult;
import io.magnoliaroute.core.log.Batch;
import io.magnoliaroute.core.log.GroupCommitter;
import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.ReadRequest;
import io.magnoliaroute.core.log.RecordId;
import io.magnoliaroute.core.log.RecordIdGenerator;
import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.program.AppliedRecord;
import io.magnoliaroute.core.program.HistoryBuffer;
import io.magnoliaroute.core.program.PartitionLease;
import io.magnoliaroute.core.program.PartitionOwner;
import io.magnoliaroute.core.program.PartitionReader;
import io.magnoliaroute.core.program.PartitionState;
import io.magnoliaroute.core.program.ProgramRecord;
import io.magnoliaroute.core.program.ProgramRecordCodec;
import io.magnoliaroute.core.program.TurnConflict;
import io.magnoliaroute.core.program.UnloggedTurn;
import io.magnoliaroute.core.program.Verdict;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one partition host guards by its lock: the state, the committer, the lease and who waits for
 * which record. It calls nothing outside; the caller completes the promises after the lock.
 */
final class PartitionCore {

  private static final int PAGE_RECORDS = 500;

  /** Hears of every record that is applied, under the lock; must not call out. */
  interface AppliedListener {

    /** Takes a record and returns what to do after the lock. */
    Runnable onApplied(AppliedRecord applied, long nowMs);

    /** Looks at the state anew and returns what to do after the lock. */
    Runnable onRestored(long nowMs);
  }

  private record TurnKey(String program, int turn) {}

  private final int partition;
  private final String stream;
  private final GroupCommitter committer;
  private final HistoryBuffer history;
  private final long leaseMs;
  private final PartitionReader reader;
  private final Map<RecordId, Promise<Applied>> waiting = new HashMap<>();
  private final Map<TurnKey, Promise<Applied>> waitingTurns = new HashMap<>();
  private RecordIdGenerator sequence;
  private PartitionLease lease;
  private final Set<AppliedListener> listeners = new LinkedHashSet<>();
  private long conflicts;

  PartitionCore(
      int partition,
      String stream,
      GroupCommitter committer,
      HistoryBuffer history,
      WriterId writer,
      long leaseMs) {
    this.partition = partition;
    this.stream = stream;
    this.committer = committer;
    this.history = history;
    this.leaseMs = leaseMs;
    this.reader = new PartitionReader(stream, PAGE_RECORDS);
    this.sequence = new RecordIdGenerator(writer);
    this.lease = new PartitionLease(writer, reader, leaseMs);
  }

  /** Switches to the writer id in force; ids of the earlier one are not given out again. */
  void useWriter(WriterId writer) {
    if (sequence.writer().equals(writer)) {
      return;
    }
    sequence = new RecordIdGenerator(writer);
    lease = new PartitionLease(writer, reader, leaseMs);
    history.resetPendingRecords(partition);
  }

  PartitionState state() {
    return reader.state();
  }

  PartitionReader reader() {
    return reader;
  }

  HistoryBuffer history() {
    return history;
  }

  PartitionLease lease() {
    return lease;
  }

  RecordIdGenerator sequence() {
    return sequence;
  }

  boolean isOwner() {
    return lease.status() == PartitionLease.Status.HELD;
  }

  long conflicts() {
    return conflicts;
  }

  /** Returns the claim to append next. */
  ProgramRecord.Claim nextClaim() {
    return lease.nextClaim(sequence);
  }

  /** Returns the reader, lease and ids that flows of the owner use. */
  PartitionOwner owner() {
    return new PartitionOwner(reader, lease, sequence);
  }

  void addListener(AppliedListener listener) {
    listeners.add(listener);
  }

  void removeListener(AppliedListener listener) {
    listeners.remove(listener);
  }

  /** Takes a record for the log without waiting for its verdict; returns whether there was room. */
  boolean append(ProgramRecord made, long nowMs) {
    return committer.add(ProgramRecordCodec.toLogRecord(made), nowMs).accepted();
  }

  /** Takes a record for the log; returns whether there was room. */
  boolean submit(ProgramRecord made, Promise<Applied> promise, long nowMs) {
    if (!committer.add(ProgramRecordCodec.toLogRecord(made), nowMs).accepted()) {
      return false;
    }
    waiting.put(made.id(), promise);
    return true;
  }

  /** Notes who waits for the turn; its record is made by {@link #flushTurns}. */
  void awaitTurn(String program, int turn, Promise<Applied> promise) {
    waitingTurns.put(new TurnKey(program, turn), promise);
  }

  /** Takes a turn of another VM; returns whether it fits the history. */
  boolean offer(UnloggedTurn turn) {
    return history.offer(partition, turn.program(), List.of(turn.turn()), state()).isEmpty();
  }

  /** Hands the held turns that are not being written to the committer, while this is the owner. */
  void flushTurns(long nowMs) {
    if (!isOwner()) {
      return;
    }
    for (ProgramRecord.TurnAppended turn : history.flush(partition, lease.epoch(), sequence)) {
      if (!committer.add(ProgramRecordCodec.toLogRecord(turn), nowMs).accepted()) {
        history.onAppendFailed(turn);
      }
    }
  }

  Batch next(long nowMs) {
    return committer.next(nowMs).orElse(null);
  }

  /** Returns the time until a batch is due, or a negative number when only an event makes one. */
  long nextDelayMs(long nowMs) {
    return committer.nextAtMs().isPresent()
        ? Math.max(1, committer.nextAtMs().getAsLong() - nowMs)
        : -1;
  }

  /** Applies the batch at once where the log put it directly after what was read. */
  List<Runnable> appended(Batch batch, long firstOffset, long nowMs) {
    committer.appended(batch, firstOffset);
    ReadRequest next = reader.nextRead();
    if (!reader.isComplete() || next.fromOffset() != firstOffset) {
      return List.of();
    }
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 0; i < batch.payloads().size(); i++) {
      entries.add(new LogEntry(firstOffset + i, batch.payloads().get(i)));
    }
    ReadRequest asRead = new ReadRequest(stream, firstOffset, entries.size());
    return accept(asRead, new LogPage(entries, firstOffset + entries.size(), 0), nowMs);
  }

  void failed(Batch batch, LogException.Kind kind, long nowMs) {
    committer.failed(batch, kind, nowMs);
  }

  List<Runnable> accept(ReadRequest request, LogPage page, long issuedAtMs) {
    PartitionReader.ReadResult result = reader.accept(request, page, issuedAtMs);
    List<Runnable> settled = new ArrayList<>();
    for (AppliedRecord applied : result.applied()) {
      settle(applied, issuedAtMs, settled);
    }
    if (result.restored()) {
      listeners.forEach(listener -> settled.add(listener.onRestored(issuedAtMs)));
      reportConflicts(history.reconcile(partition, state()), settled);
    }
    return settled;
  }

  AbandonResult abandon(RecordId id) {
    AbandonResult result = committer.abandon(id);
    if (result == AbandonResult.NEVER_APPENDED) {
      waiting.remove(id);
    }
    return result;
  }

  int pendingRecords(long nowMs) {
    return committer.counters(nowMs).pendingRecords();
  }

  private void settle(AppliedRecord applied, long nowMs, List<Runnable> settled) {
    committer.readBack(applied.record().id());
    listeners.forEach(listener -> settled.add(listener.onApplied(applied, nowMs)));
    if (applied.verdict() instanceof Verdict.Duplicate) {
      return;
    }
    reportConflicts(history.onApplied(applied, state()), settled);
    Applied seen = new Applied(applied.offset(), applied.verdict());
    Promise<Applied> promise = waiting.remove(applied.record().id());
    if (promise != null) {
      settled.add(() -> promise.tryComplete(seen));
    }
    if (applied.record() instanceof ProgramRecord.TurnAppended turn && seen.accepted()) {
      settleTurn(new TurnKey(turn.program().value(), turn.turn().number()), seen, settled);
    }
  }

  private void reportConflicts(List<TurnConflict> found, List<Runnable> settled) {
    for (TurnConflict conflict : found) {
      conflicts++;
      Applied refused = Applied.conflict(conflict);
      TurnKey key = new TurnKey(conflict.program().value(), conflict.turn().number());
      settleTurn(key, refused, settled);
    }
  }

  private void settleTurn(TurnKey key, Applied applied, List<Runnable> settled) {
    Promise<Applied> promise = waitingTurns.remove(key);
    if (promise != null) {
      settled.add(() -> promise.tryComplete(applied));
    }
  }
}
