package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.history.CallBudget;
import io.magnoliaroute.core.gateway.history.HistoryKeys;
import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreClient.KeyValue;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Holds the records of kept turns that are not stored yet, and appends them to the store within
 * this VM's share of its write rate. Used on one event loop.
 */
final class TurnWriter {

  /** The topic of the records. */
  static final String TOPIC = StoreClient.KEYED_PREFIX + "turns";

  /**
   * Limit of the records that are not stored yet: an outage of 9 s leaves 260 turns/s of 2.4 kB at
   * two home VMs each, 11 MB over all VMs; a single VM of few could hold most of it.
   */
  private static final long MAX_PENDING_BYTES = 8_388_608;

  /** The store accepts 2,097,152 bytes per call; half of it leaves room for keys and lengths. */
  private static final int MAX_CALL_BYTES = 1_048_576;

  private static final int MAX_CALL_RECORDS = 500;

  /**
   * Appends under way at the same time. Each takes 4 ms at the store; calls that get no answer must
   * leave connections to the readers of the configuration and the endpoints.
   */
  private static final int MAX_CONCURRENT_CALLS = 4;

  /** Pause before an append is repeated whose result is not known, or that was refused. */
  private static final long RETRY_MS = 200;

  /**
   * The same for a record that two home VMs hold, which usually store it before; longer than a
   * usual outage of the store.
   */
  private static final long HELD_RETRY_MS = 10_000;

  /** Pause before the queue is tried again when this VM's share of the write rate is spent. */
  private static final long BUDGET_RETRY_MS = 50;

  private final Vertx vertx;
  private final StoreClient store;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final int partitions;
  private final DoubleSupplier callsPerS;
  private final CallBudget budget;
  private final Map<String, Pending> pending = new LinkedHashMap<>();
  private final Set<Integer> busyPartitions = new HashSet<>();
  private long pendingBytes;
  private boolean scheduled;

  private static final class Pending {
    private final HistoryRecord value;
    private final long addedAtMs;
    private final Promise<Void> stored = Promise.promise();
    private long dueAtMs;
    private boolean appending;
    private boolean heldElsewhere;

    Pending(HistoryRecord value, long addedAtMs, long dueAtMs) {
      this.value = value;
      this.addedAtMs = addedAtMs;
      this.dueAtMs = dueAtMs;
    }
  }

  TurnWriter(TurnContext context, int partitions, CallBudget budget, DoubleSupplier callsPerS) {
    this.vertx = context.vertx();
    this.store = context.store();
    this.clock = context.clock();
    this.log = context.log();
    this.metrics = context.metrics();
    this.partitions = partitions;
    this.budget = budget;
    this.callsPerS = callsPerS;
  }

  /**
   * Holds a record until it is stored, and appends it after the given delay unless it is found in
   * the store before. Completes once the record is stored, and fails if the queue is full.
   */
  Future<Void> add(HistoryRecord value, long delayMs) {
    long nowMs = clock.millis();
    Pending present = pending.get(value.key());
    if (present != null && present.value.keptUntilMs() >= value.keptUntilMs()) {
      present.dueAtMs = Math.min(present.dueAtMs, nowMs + delayMs);
      pump();
      return present.stored.future();
    }
    if (pendingBytes + value.sizeBytes() > MAX_PENDING_BYTES) {
      metrics.countTurn("dropped");
      log.line("turn_not_queued")
          .put("key", value.key())
          .put("queued_bytes", pendingBytes)
          .put("limit_bytes", MAX_PENDING_BYTES)
          .write();
      return Future.failedFuture("queue of unstored turns is full");
    }
    if (present != null) {
      remove(present);
      present.stored.tryComplete();
    }
    Pending added = new Pending(value, nowMs, nowMs + delayMs);
    pending.put(value.key(), added);
    pendingBytes += value.sizeBytes();
    pump();
    return added.stored.future();
  }

  /** Returns a record that is held here and not known to be stored. */
  Optional<HistoryRecord> find(String key) {
    return Optional.ofNullable(pending.get(key)).map(found -> found.value);
  }

  /** Returns whether the record is being appended at present. */
  boolean isAppending(String key) {
    Pending found = pending.get(key);
    return found != null && found.appending;
  }

  /** Records that the store holds a record of the key. */
  void recordStored(HistoryRecord stored) {
    Pending found = pending.get(stored.key());
    if (found != null && found.value.keptUntilMs() <= stored.keptUntilMs()) {
      complete(found);
    }
  }

  /**
   * Leaves the append to the home VMs, which hold the record, unless it is under way here.
   *
   * @param dropped whether to drop the record here; if not, it is appended here later, in case the
   *     home VMs end before the store is back
   */
  void leaveToHomes(String key, boolean dropped) {
    Pending found = pending.get(key);
    if (found == null) {
      return;
    }
    found.heldElsewhere = true;
    if (!found.appending && dropped) {
      remove(found);
    } else if (!found.appending) {
      found.dueAtMs = clock.millis() + HELD_RETRY_MS;
    }
  }

  /** Ends the delays of records that were handed over, because this VM is about to end. */
  void makeAllDue() {
    pending.values().forEach(each -> each.dueAtMs = Math.min(each.dueAtMs, clock.millis()));
  }

  /** Returns the records that are held here and not known to be stored. */
  List<HistoryRecord> pendingRecords() {
    return pending.values().stream().map(each -> each.value).toList();
  }

  int pendingCount() {
    return pending.size();
  }

  private void complete(Pending each) {
    remove(each);
    each.stored.tryComplete();
  }

  private void remove(Pending each) {
    if (pending.remove(each.value.key(), each)) {
      pendingBytes -= each.value.sizeBytes();
    }
  }

  /** Appends the records that are due. */
  void pump() {
    while (busyPartitions.size() < MAX_CONCURRENT_CALLS) {
      List<Pending> batch = nextBatch();
      if (batch.isEmpty()) {
        return;
      }
      if (!budget.tryTake(callsPerS.getAsDouble(), clock.millis())) {
        schedule(BUDGET_RETRY_MS);
        return;
      }
      append(batch);
    }
  }

  private void schedule(long delayMs) {
    if (!scheduled) {
      scheduled = true;
      vertx.setTimer(
          delayMs,
          fired -> {
            scheduled = false;
            pump();
          });
    }
  }

  private int partitionOf(Pending each) {
    return HistoryKeys.partitionOf(each.value.key(), partitions);
  }

  private List<Pending> nextBatch() {
    long nowMs = clock.millis();
    List<Pending> batch = new ArrayList<>();
    int partition = -1;
    long bytes = 0;
    for (Pending each : pending.values()) {
      int own = partitionOf(each);
      if (each.appending || each.dueAtMs > nowMs || busyPartitions.contains(own)) {
        continue;
      }
      bytes += each.value.sizeBytes();
      if (partition >= 0 && (own != partition || bytes > MAX_CALL_BYTES)) {
        bytes -= each.value.sizeBytes();
        continue;
      }
      partition = own;
      batch.add(each);
      if (batch.size() >= MAX_CALL_RECORDS) {
        break;
      }
    }
    return batch;
  }

  private void append(List<Pending> batch) {
    int partition = partitionOf(batch.get(0));
    busyPartitions.add(partition);
    List<KeyValue> records = new ArrayList<>();
    long bytes = 0;
    for (Pending each : batch) {
      each.appending = true;
      Bytes value = each.value.encode();
      bytes += value.sizeBytes();
      records.add(new KeyValue(each.value.key(), value));
    }
    metrics.countTurnBytes(bytes);
    store
        .append(TOPIC, partition, Optional.empty(), records)
        .onComplete(
            done -> {
              busyPartitions.remove(partition);
              if (done.succeeded()) {
                onStored(batch);
              } else {
                onFailed(batch, done.cause());
              }
              pump();
            });
  }

  private void onStored(List<Pending> batch) {
    metrics.countTurns("stored", batch.size());
    batch.forEach(this::complete);
  }

  // The records may have been appended although the call failed. A second append has no effect: it
  // has the same key and the same value.
  private void onFailed(List<Pending> batch, Throwable cause) {
    metrics.countTurns("append_failed", batch.size());
    log.line("turns_not_stored")
        .put("records", batch.size())
        .put("first_key", batch.get(0).value.key())
        .put("held_ms", clock.millis() - batch.get(0).addedAtMs)
        .put("cause", String.valueOf(cause.getMessage()))
        .write();
    for (Pending each : batch) {
      each.appending = false;
      each.dueAtMs = clock.millis() + (each.heldElsewhere ? HELD_RETRY_MS : RETRY_MS);
    }
    schedule(RETRY_MS);
  }
}
