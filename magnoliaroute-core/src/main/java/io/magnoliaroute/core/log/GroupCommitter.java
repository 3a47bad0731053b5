package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Collects the records of one stream into batches, with one batch in flight at a time.
 *
 * <p>Records are sent in the order in which they were added. A batch always starts with the oldest
 * record that is not acknowledged, read back or abandoned, and the records of a failed batch are
 * sent again under the same record ids. Not thread-safe.
 */
public final class GroupCommitter {

  private static final int MAX_DOUBLINGS = 20;

  private static final class PendingRecord {
    private final Bytes payload;
    private final long addedAtMs;
    private boolean possiblyAppended;

    PendingRecord(Bytes payload, long addedAtMs) {
      this.payload = payload;
      this.addedAtMs = addedAtMs;
    }
  }

  private final String stream;
  private final CommitLimits limits;
  private final RandomGenerator jitter;

  private final Map<RecordId, PendingRecord> pendingRecords = new LinkedHashMap<>();
  private Batch inFlight;
  private int possiblyAppendedRecords;
  private int consecutiveFailures;
  private long intervalEndsAtMs = Long.MIN_VALUE;
  private long notBeforeMs = Long.MIN_VALUE;

  private int pendingBytes;
  private long confirmedRecords;
  private long batches;
  private long bytes;
  private long retries;
  private long refused;

  /**
   * Creates a committer.
   *
   * @param stream the stream to append to
   * @param limits the limits on batches, pending records and backoff
   * @param jitter the source of backoff jitter, which spreads the retries of several VMs
   */
  public GroupCommitter(String stream, CommitLimits limits, RandomGenerator jitter) {
    this.stream = Objects.requireNonNull(stream, "stream");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.jitter = Objects.requireNonNull(jitter, "jitter");
  }

  /** Queues a record for a later batch, or refuses it if a limit on pending records is reached. */
  public AddResult add(LogRecord logRecord, long nowMs) {
    if (pendingRecords.containsKey(logRecord.id())) {
      throw new IllegalArgumentException("record " + logRecord.id() + " is already pending");
    }
    if (pendingRecords.size() >= limits.maxPendingRecords()) {
      refused++;
      return AddResult.TOO_MANY_RECORDS;
    }
    Bytes payload = LogRecordCodec.encode(logRecord);
    if (pendingBytes + (long) payload.sizeBytes() > limits.maxPendingBytes()) {
      refused++;
      return AddResult.TOO_MANY_BYTES;
    }
    pendingRecords.put(logRecord.id(), new PendingRecord(payload, nowMs));
    pendingBytes += payload.sizeBytes();
    return AddResult.ACCEPTED;
  }

  /** Returns the batch to append now, or empty if one is in flight or none is due. */
  public Optional<Batch> next(long nowMs) {
    if (inFlight != null || pendingRecords.isEmpty() || nowMs < notBeforeMs) {
      return Optional.empty();
    }
    inFlight = assembleBatch();
    intervalEndsAtMs = nowMs + limits.intervalMs();
    notBeforeMs = intervalEndsAtMs;
    batches++;
    bytes += inFlight.sizeBytes();
    retries += consecutiveFailures > 0 ? 1 : 0;
    return Optional.of(inFlight);
  }

  /**
   * Returns the time from which {@link #next} returns a batch, or empty while a batch is in flight
   * or no record is pending.
   */
  public OptionalLong nextAtMs() {
    if (inFlight != null || pendingRecords.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(notBeforeMs);
  }

  /**
   * Confirms the records of a batch that the log acknowledged. A late acknowledgement of a batch
   * that already timed out is accepted as well.
   */
  public void recordAppended(Batch batch, long firstOffset) {
    if (firstOffset < 0) {
      throw new IllegalArgumentException("firstOffset must not be negative, was " + firstOffset);
    }
    clearInFlight(batch);
    batch.ids().forEach(this::confirm);
    resetBackoff();
  }

  /** Keeps the records of a failed batch pending and schedules a retry after a backoff. */
  public void recordFailure(Batch batch, LogException.Kind kind, long nowMs) {
    if (!clearInFlight(batch)) {
      return;
    }
    if (kind != LogException.Kind.UNAVAILABLE) {
      markPossiblyAppended(batch);
    }
    consecutiveFailures++;
    notBeforeMs = nowMs + backoffMs();
  }

  /** Confirms a record that was read from the stream, which proves that its append took effect. */
  public void recordReadBack(RecordId id) {
    if (confirm(id) && possiblyAppendedRecords == 0) {
      resetBackoff();
    }
  }

  /** Stops appending a record and returns whether it may still appear in the log. */
  public AbandonResult abandon(RecordId id) {
    PendingRecord pending = pendingRecords.get(id);
    if (pending == null) {
      return AbandonResult.NOT_HELD;
    }
    boolean mayLand = pending.possiblyAppended || isInFlight(id);
    remove(id);
    return mayLand ? AbandonResult.MAY_LAND : AbandonResult.NEVER_APPENDED;
  }

  /** Returns the counters at the given time. */
  public CommitCounters counters(long nowMs) {
    long oldestMs = 0;
    if (!pendingRecords.isEmpty()) {
      oldestMs = Math.max(0, nowMs - pendingRecords.values().iterator().next().addedAtMs);
    }
    return new CommitCounters(
        confirmedRecords,
        batches,
        bytes,
        retries,
        refused,
        pendingRecords.size(),
        pendingBytes,
        oldestMs);
  }

  private Batch assembleBatch() {
    // A retry of a timed-out batch adds no new records. Otherwise a batch that the log appended but
    // did not acknowledge would grow with each retry.
    int maxRecords =
        possiblyAppendedRecords > 0 ? possiblyAppendedRecords : limits.maxBatchRecords();
    List<RecordId> ids = new ArrayList<>();
    List<Bytes> payloads = new ArrayList<>();
    long sizeBytes = 0;
    for (Map.Entry<RecordId, PendingRecord> pending : pendingRecords.entrySet()) {
      Bytes payload = pending.getValue().payload;
      sizeBytes += payload.sizeBytes();
      boolean full = ids.size() >= maxRecords || sizeBytes > limits.maxBatchBytes();
      if (full && !ids.isEmpty()) {
        break;
      }
      ids.add(pending.getKey());
      payloads.add(payload);
    }
    return new Batch(stream, batches, ids, payloads);
  }

  private boolean clearInFlight(Batch batch) {
    if (inFlight == null || inFlight.number() != batch.number()) {
      return false;
    }
    inFlight = null;
    return true;
  }

  private boolean confirm(RecordId id) {
    if (!pendingRecords.containsKey(id)) {
      return false;
    }
    remove(id);
    confirmedRecords++;
    return true;
  }

  private void remove(RecordId id) {
    PendingRecord pending = pendingRecords.remove(id);
    pendingBytes -= pending.payload.sizeBytes();
    if (pending.possiblyAppended) {
      possiblyAppendedRecords--;
    }
  }

  private void markPossiblyAppended(Batch batch) {
    for (RecordId id : batch.ids()) {
      PendingRecord pending = pendingRecords.get(id);
      if (pending != null && !pending.possiblyAppended) {
        pending.possiblyAppended = true;
        possiblyAppendedRecords++;
      }
    }
  }

  private void resetBackoff() {
    if (consecutiveFailures > 0) {
      consecutiveFailures = 0;
      notBeforeMs = intervalEndsAtMs;
    }
  }

  private boolean isInFlight(RecordId id) {
    return inFlight != null && inFlight.ids().contains(id);
  }

  private long backoffMs() {
    int doublings = Math.min(consecutiveFailures - 1, MAX_DOUBLINGS);
    long backoffMs = Math.min(limits.maxBackoffMs(), limits.minBackoffMs() << doublings);
    return backoffMs / 2 + jitter.nextLong(backoffMs / 2 + 1);
  }
}
