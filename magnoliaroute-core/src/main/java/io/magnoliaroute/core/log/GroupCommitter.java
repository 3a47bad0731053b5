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
 * <p>Records are handed out in the order in which they were added, and a record is not handed out
 * before all earlier ones are settled. A batch that failed is handed out again under the same
 * record ids. Not safe for use by several threads.
 */
public final class GroupCommitter {

  private static final int MAX_DOUBLINGS = 20;

  private static final class Pending {
    private final Bytes payload;
    private final long addedAtMs;
    private boolean mayLand;

    Pending(Bytes payload, long addedAtMs) {
      this.payload = payload;
      this.addedAtMs = addedAtMs;
    }
  }

  private final String stream;
  private final CommitLimits limits;
  private final RandomGenerator jitter;

  private final Map<RecordId, Pending> waiting = new LinkedHashMap<>();
  private Batch inFlight;
  private int repeatRecords;
  private int failures;
  private long intervalEndsAtMs = Long.MIN_VALUE;
  private long notBeforeMs = Long.MIN_VALUE;

  private int pendingBytes;
  private long settledRecords;
  private long batches;
  private long bytes;
  private long retries;
  private long refused;

  /** Makes a committer for the stream; the generator spreads the repeats of several VMs. */
  public GroupCommitter(String stream, CommitLimits limits, RandomGenerator jitter) {
    this.stream = Objects.requireNonNull(stream, "stream");
    this.limits = Objects.requireNonNull(limits, "limits");
    this.jitter = Objects.requireNonNull(jitter, "jitter");
  }

  /** Takes a record for a later batch, or refuses it when the bounds are reached. */
  public AddResult add(LogRecord r, long nowMs) {
    if (waiting.containsKey(r.id())) {
      throw new IllegalArgumentException("record " + r.id() + " is held already");
    }
    if (waiting.size() >= limits.maxPendingRecords()) {
      refused++;
      return AddResult.TOO_MANY_RECORDS;
    }
    Bytes payload = LogRecordCodec.encode(r);
    if (pendingBytes + (long) payload.sizeBytes() > limits.maxPendingBytes()) {
      refused++;
      return AddResult.TOO_MANY_BYTES;
    }
    waiting.put(r.id(), new Pending(payload, nowMs));
    pendingBytes += payload.sizeBytes();
    return AddResult.ACCEPTED;
  }

  /** Returns the batch to append now, or empty while one is in flight or none is due. */
  public Optional<Batch> next(long nowMs) {
    if (inFlight != null || waiting.isEmpty() || nowMs < notBeforeMs) {
      return Optional.empty();
    }
    inFlight = collect();
    intervalEndsAtMs = nowMs + limits.intervalMs();
    notBeforeMs = intervalEndsAtMs;
    batches++;
    bytes += inFlight.sizeBytes();
    retries += failures > 0 ? 1 : 0;
    return Optional.of(inFlight);
  }

  /** Returns when {@link #next} has a batch to hand out, or empty when only an event changes it. */
  public OptionalLong nextAtMs() {
    if (inFlight != null || waiting.isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(notBeforeMs);
  }

  /**
   * Settles the records of a batch that the log acknowledged. An answer that comes after the batch
   * had counted as timed out is taken as well.
   */
  public void appended(Batch b, long firstOffset) {
    if (firstOffset < 0) {
      throw new IllegalArgumentException("firstOffset must not be negative, was " + firstOffset);
    }
    finish(b);
    b.ids().forEach(this::settle);
    recover();
  }

  /** Keeps the records of a batch that the log did not acknowledge for a repeat after a wait. */
  public void failed(Batch b, LogException.Kind kind, long nowMs) {
    if (!finish(b)) {
      return;
    }
    if (kind != LogException.Kind.UNAVAILABLE) {
      markMayLand(b);
    }
    failures++;
    notBeforeMs = nowMs + backoffMs();
  }

  /** Settles a record that was read from the stream. */
  public void readBack(RecordId id) {
    if (settle(id) && repeatRecords == 0) {
      recover();
    }
  }

  /** Stops appending a record and says whether it may still land. */
  public AbandonResult abandon(RecordId id) {
    Pending pending = waiting.get(id);
    if (pending == null) {
      return AbandonResult.NOT_HELD;
    }
    boolean mayLand = pending.mayLand || isInFlight(id);
    remove(id);
    return mayLand ? AbandonResult.MAY_LAND : AbandonResult.NEVER_APPENDED;
  }

  /** Returns the figures at the given time. */
  public CommitCounters counters(long nowMs) {
    long oldestMs = 0;
    if (!waiting.isEmpty()) {
      oldestMs = Math.max(0, nowMs - waiting.values().iterator().next().addedAtMs);
    }
    return new CommitCounters(
        settledRecords, batches, bytes, retries, refused, waiting.size(), pendingBytes, oldestMs);
  }

  private Batch collect() {
    // A repeat of a timed-out batch takes no new records: a batch that the log did carry out and
    // only could not acknowledge would otherwise grow with each repeat.
    int maxRecords = repeatRecords > 0 ? repeatRecords : limits.maxBatchRecords();
    List<RecordId> ids = new ArrayList<>();
    List<Bytes> payloads = new ArrayList<>();
    long sizeBytes = 0;
    for (Map.Entry<RecordId, Pending> pending : waiting.entrySet()) {
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

  private boolean finish(Batch b) {
    if (inFlight == null || inFlight.number() != b.number()) {
      return false;
    }
    inFlight = null;
    return true;
  }

  private boolean settle(RecordId id) {
    if (!waiting.containsKey(id)) {
      return false;
    }
    remove(id);
    settledRecords++;
    return true;
  }

  private void remove(RecordId id) {
    Pending pending = waiting.remove(id);
    pendingBytes -= pending.payload.sizeBytes();
    if (pending.mayLand) {
      repeatRecords--;
    }
  }

  private void markMayLand(Batch b) {
    for (RecordId id : b.ids()) {
      Pending pending = waiting.get(id);
      if (pending != null && !pending.mayLand) {
        pending.mayLand = true;
        repeatRecords++;
      }
    }
  }

  private void recover() {
    if (failures > 0) {
      failures = 0;
      notBeforeMs = intervalEndsAtMs;
    }
  }

  private boolean isInFlight(RecordId id) {
    return inFlight != null && inFlight.ids().contains(id);
  }

  private long backoffMs() {
    int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    long backoffMs = Math.min(limits.maxBackoffMs(), limits.minBackoffMs() << doublings);
    return backoffMs / 2 + jitter.nextLong(backoffMs / 2 + 1);
  }
}
