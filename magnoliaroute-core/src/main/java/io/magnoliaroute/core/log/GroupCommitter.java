package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Collects the records of one stream into batches, with one batch in flight at a time.
 *
 * <p>Records are handed out in the order in which they were added, and a record is not handed out
 * before all earlier ones are settled. A batch that failed is handed out again under the same
 * record ids. Not safe for use by several threads.
 */
public final class GroupCommitter {

  private static final class Pending {
    private final RecordId id;
    private final Bytes payload;
    private final long addedAtMs;
    private boolean mayLand;

    Pending(RecordId id, Bytes payload, long addedAtMs) {
      this.id = id;
      this.payload = payload;
      this.addedAtMs = addedAtMs;
    }
  }

  private final String stream;
  private final CommitLimits limits;
  private final RandomGenerator jitter;

  private final Deque<Pending> waiting = new ArrayDeque<>();
  private Batch inFlight;
  private int repeatRecords;
  private int failures;
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
    if (waiting.size() >= limits.maxPendingRecords()) {
      refused++;
      return AddResult.TOO_MANY_RECORDS;
    }
    Bytes payload = LogRecordCodec.encode(r);
    if (pendingBytes + (long) payload.sizeBytes() > limits.maxPendingBytes()) {
      refused++;
      return AddResult.TOO_MANY_BYTES;
    }
    waiting.addLast(new Pending(r.id(), payload, nowMs));
    pendingBytes += payload.sizeBytes();
    return AddResult.ACCEPTED;
  }

  /** Returns the batch to append now, or empty while one is in flight or none is due. */
  public Optional<Batch> next(long nowMs) {
    if (inFlight != null || waiting.isEmpty() || nowMs < notBeforeMs) {
      return Optional.empty();
    }
    boolean repeat = failures > 0;
    inFlight = collect();
    notBeforeMs = nowMs + limits.intervalMs();
    batches++;
    bytes += inFlight.sizeBytes();
    retries += repeat ? 1 : 0;
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
    settle(new HashSet<>(b.ids()));
    failures = 0;
    repeatRecords = 0;
  }

  /** Keeps the records of a batch that the log did not acknowledge for a repeat after a wait. */
  public void failed(Batch b, LogException.Kind kind, long nowMs) {
    if (!finish(b)) {
      return;
    }
    if (kind != LogException.Kind.UNAVAILABLE) {
      markMayLand(new HashSet<>(b.ids()));
      repeatRecords = countHeld(new HashSet<>(b.ids()));
    }
    failures++;
    notBeforeMs = nowMs + backoffMs();
  }

  /** Settles a record that was read from the stream. */
  public void readBack(RecordId id) {
    settle(Set.of(id));
  }

  /** Stops appending a record and says whether it may still land. */
  public AbandonResult abandon(RecordId id) {
    Iterator<Pending> each = waiting.iterator();
    while (each.hasNext()) {
      Pending pending = each.next();
      if (!pending.id.equals(id)) {
        continue;
      }
      boolean mayLand = pending.mayLand || isInFlight(id);
      remove(each, pending);
      return mayLand ? AbandonResult.MAY_LAND : AbandonResult.NEVER_APPENDED;
    }
    return AbandonResult.NOT_HELD;
  }

  /** Returns the figures at the given time. */
  public CommitCounters counters(long nowMs) {
    long oldestMs = waiting.isEmpty() ? 0 : Math.max(0, nowMs - waiting.getFirst().addedAtMs);
    return new CommitCounters(
        settledRecords, batches, bytes, retries, refused, waiting.size(), pendingBytes, oldestMs);
  }

  private Batch collect() {
    // A repeat of a timed-out batch takes no new records, so that an outage of the answer path
    // does not grow the batch that is sent again and again.
    int maxRecords = repeatRecords > 0 ? repeatRecords : limits.maxBatchRecords();
    List<RecordId> ids = new ArrayList<>();
    List<Bytes> payloads = new ArrayList<>();
    long sizeBytes = 0;
    for (Pending pending : waiting) {
      sizeBytes += pending.payload.sizeBytes();
      boolean full = ids.size() >= maxRecords || sizeBytes > limits.maxBatchBytes();
      if (full && !ids.isEmpty()) {
        break;
      }
      ids.add(pending.id);
      payloads.add(pending.payload);
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

  private void settle(Set<RecordId> ids) {
    Iterator<Pending> each = waiting.iterator();
    while (each.hasNext()) {
      Pending pending = each.next();
      if (ids.contains(pending.id)) {
        remove(each, pending);
        settledRecords++;
      }
    }
  }

  private void remove(Iterator<Pending> each, Pending pending) {
    each.remove();
    pendingBytes -= pending.payload.sizeBytes();
    if (repeatRecords > 0 && pending.mayLand) {
      repeatRecords--;
    }
  }

  private void markMayLand(Set<RecordId> ids) {
    for (Pending pending : waiting) {
      pending.mayLand |= ids.contains(pending.id);
    }
  }

  private int countHeld(Set<RecordId> ids) {
    int held = 0;
    for (Pending pending : waiting) {
      held += ids.contains(pending.id) ? 1 : 0;
    }
    return held;
  }

  private boolean isInFlight(RecordId id) {
    return inFlight != null && inFlight.ids().contains(id);
  }

  private long backoffMs() {
    int doublings = Math.min(failures - 1, Long.SIZE - 2 - 32);
    long backoffMs = Math.min(limits.maxBackoffMs(), limits.minBackoffMs() << doublings);
    return backoffMs / 2 + jitter.nextLong(backoffMs / 2 + 1);
  }
}
