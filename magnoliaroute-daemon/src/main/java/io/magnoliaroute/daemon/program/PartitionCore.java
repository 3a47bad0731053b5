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
 * The data of one partition that is guarded by the host's lock: the state, the committer, the lease
 * and the promises of pending records.
 *
 * <p>Methods neither perform I/O nor call other components. Methods that settle records return
 * callbacks, which complete the promises and must be run after the lock is released.
 */
final class PartitionCore {

  private static final int PAGE_RECORDS = 500;

  /**
   * Receives every applied record under the lock. Implementations must not perform I/O or call
   * other components.
   */
  interface AppliedRecordListener {

    /** Processes an applied record and returns a callback to run after the lock is released. */
    Runnable onApplied(AppliedRecord applied, long nowMs);

    /**
     * Called after the state was restored from a snapshot. Returns a callback to run after the lock
     * is released.
     */
    Runnable onRestored(long nowMs);
  }

  private record TurnKey(String program, int turn) {}

  private final int partition;
  private final String stream;
  private final GroupCommitter committer;
  private final HistoryBuffer history;
  private final long leaseMs;
  private final PartitionReader reader;
  private final Map<RecordId, Promise<AppendResult>> recordPromises = new HashMap<>();
  private final Map<TurnKey, Promise<AppendResult>> turnPromises = new HashMap<>();
  private RecordIdGenerator recordIds;
  private PartitionLease lease;
  private final Set<AppliedRecordListener> listeners = new LinkedHashSet<>();
  private long conflictCount;

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
    this.recordIds = new RecordIdGenerator(writer);
    this.lease = new PartitionLease(writer, reader, leaseMs);
  }

  /**
   * Switches to the given writer id if it is not the current one. Record ids of the previous writer
   * are not used again, and the partition must be claimed anew.
   */
  void switchWriter(WriterId writer) {
    if (recordIds.writer().equals(writer)) {
      return;
    }
    recordIds = new RecordIdGenerator(writer);
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

  RecordIdGenerator recordIds() {
    return recordIds;
  }

  boolean isOwner() {
    return lease.status() == PartitionLease.Status.HELD;
  }

  long conflictCount() {
    return conflictCount;
  }

  /** Returns a claim of the current writer; the caller appends it. */
  ProgramRecord.Claim nextClaim() {
    return lease.nextClaim(recordIds);
  }

  /** Returns the reader, lease and record ids for use by action flows of the owner. */
  PartitionOwner owner() {
    return new PartitionOwner(reader, lease, recordIds);
  }

  void addListener(AppliedRecordListener listener) {
    listeners.add(listener);
  }

  void removeListener(AppliedRecordListener listener) {
    listeners.remove(listener);
  }

  /**
   * Queues a record for the log without a promise for its verdict. Returns false if a limit on
   * pending records is reached.
   */
  boolean append(ProgramRecord programRecord, long nowMs) {
    return committer.add(ProgramRecordCodec.toLogRecord(programRecord), nowMs).isAccepted();
  }

  /**
   * Queues a record for the log. Returns false if a limit on pending records is reached.
   *
   * @param promise completed when the record is read back
   */
  boolean submit(ProgramRecord programRecord, Promise<AppendResult> promise, long nowMs) {
    if (!committer.add(ProgramRecordCodec.toLogRecord(programRecord), nowMs).isAccepted()) {
      return false;
    }
    recordPromises.put(programRecord.id(), promise);
    return true;
  }

  /**
   * Registers a promise that is completed when the turn is read back. {@link #flushTurns} creates
   * the turn's record.
   */
  void awaitTurn(String program, int turn, Promise<AppendResult> promise) {
    turnPromises.put(new TurnKey(program, turn), promise);
  }

  /** Adds a turn that another VM completed; returns whether it is consistent with the history. */
  boolean offer(UnloggedTurn turn) {
    return history.offer(partition, turn.program(), List.of(turn.turn()), state()).isEmpty();
  }

  /**
   * Queues records for the buffered turns that are not being written yet. Does nothing unless this
   * VM owns the partition.
   */
  void flushTurns(long nowMs) {
    if (!isOwner()) {
      return;
    }
    for (ProgramRecord.TurnAppended turn : history.flush(partition, lease.epoch(), recordIds)) {
      if (!committer.add(ProgramRecordCodec.toLogRecord(turn), nowMs).isAccepted()) {
        history.onAppendFailed(turn);
      }
    }
  }

  /** Returns the batch to append now, or null if one is in flight or none is due. */
  Batch nextBatch(long nowMs) {
    return committer.next(nowMs).orElse(null);
  }

  /**
   * Returns the time in ms until a batch is due, or -1 while a batch is in flight or no record is
   * pending.
   */
  long nextDelayMs(long nowMs) {
    return committer.nextAtMs().isPresent()
        ? Math.max(1, committer.nextAtMs().getAsLong() - nowMs)
        : -1;
  }

  /**
   * Processes the acknowledgement of a batch. The batch is applied immediately, without a read, if
   * its first offset directly follows the records read so far.
   */
  List<Runnable> onAppended(Batch batch, long firstOffset, long nowMs) {
    committer.recordAppended(batch, firstOffset);
    ReadRequest next = reader.nextRead();
    if (!reader.isComplete() || next.fromOffset() != firstOffset) {
      return List.of();
    }
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 0; i < batch.payloads().size(); i++) {
      entries.add(new LogEntry(firstOffset + i, batch.payloads().get(i)));
    }
    ReadRequest equivalentRead = new ReadRequest(stream, firstOffset, entries.size());
    return onPageRead(equivalentRead, new LogPage(entries, firstOffset + entries.size(), 0), nowMs);
  }

  /** Keeps the records of a failed batch pending for a retry. */
  void onAppendFailed(Batch batch, LogException.Kind kind, long nowMs) {
    committer.recordFailure(batch, kind, nowMs);
  }

  /**
   * Applies one page of the stream and returns the callbacks to run after the lock is released.
   *
   * @param issuedAtMs the time before the read was issued
   */
  List<Runnable> onPageRead(ReadRequest request, LogPage page, long issuedAtMs) {
    PartitionReader.ReadResult result = reader.accept(request, page, issuedAtMs);
    List<Runnable> callbacks = new ArrayList<>();
    for (AppliedRecord applied : result.applied()) {
      completeRecord(applied, issuedAtMs, callbacks);
    }
    if (result.isRestored()) {
      listeners.forEach(listener -> callbacks.add(listener.onRestored(issuedAtMs)));
      reportConflicts(history.reconcile(partition, state()), callbacks);
    }
    return callbacks;
  }

  /**
   * Stops appending a record. Discards its promise only if the record was never appended, because
   * it may otherwise still be read back.
   */
  AbandonResult abandon(RecordId id) {
    AbandonResult result = committer.abandon(id);
    if (result == AbandonResult.NEVER_APPENDED) {
      recordPromises.remove(id);
    }
    return result;
  }

  int pendingRecordCount(long nowMs) {
    return committer.counters(nowMs).pendingRecords();
  }

  private void completeRecord(AppliedRecord applied, long nowMs, List<Runnable> callbacks) {
    committer.recordReadBack(applied.record().id());
    listeners.forEach(listener -> callbacks.add(listener.onApplied(applied, nowMs)));
    if (applied.verdict() instanceof Verdict.Duplicate) {
      return;
    }
    reportConflicts(history.onApplied(applied, state()), callbacks);
    AppendResult result = new AppendResult(applied.offset(), applied.verdict());
    Promise<AppendResult> promise = recordPromises.remove(applied.record().id());
    if (promise != null) {
      callbacks.add(() -> promise.tryComplete(result));
    }
    if (applied.record() instanceof ProgramRecord.TurnAppended turn && result.isAccepted()) {
      completeTurn(new TurnKey(turn.program().value(), turn.turn().number()), result, callbacks);
    }
  }

  private void reportConflicts(List<TurnConflict> turnConflicts, List<Runnable> callbacks) {
    for (TurnConflict conflict : turnConflicts) {
      conflictCount++;
      AppendResult refused = AppendResult.ofConflict(conflict);
      TurnKey key = new TurnKey(conflict.program().value(), conflict.turn().number());
      completeTurn(key, refused, callbacks);
    }
  }

  private void completeTurn(TurnKey key, AppendResult result, List<Runnable> callbacks) {
    Promise<AppendResult> promise = turnPromises.remove(key);
    if (promise != null) {
      callbacks.add(() -> promise.tryComplete(result));
    }
  }
}
