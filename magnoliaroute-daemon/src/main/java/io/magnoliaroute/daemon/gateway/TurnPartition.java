package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.history.HistoryRecord;
import io.magnoliaroute.core.gateway.history.PartitionIndex;
import io.magnoliaroute.core.gateway.history.RecordCache;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreClient.KeyValue;
import io.magnoliaroute.platform.StoreException;
import io.magnoliaroute.platform.StoreRecord;
import io.vertx.core.Future;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/** One partition of the kept turns, as a home VM reads it from the store. */
final class TurnPartition {

  /**
   * Limit of the keys of one partition: twelve times the 1,300 that 260 turns/s leave in each of 24
   * partitions within two retention periods of 60 s.
   */
  private static final int MAX_KEYS = 16_000;

  /** Tombstones that are appended with one call. */
  private static final int MAX_TOMBSTONES = 2_000;

  private static final Bytes TOMBSTONE = Bytes.copyOf(new byte[0]);

  private final StoreClient store;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final RecordCache cache;
  private final TurnWriter writer;
  private final int number;
  private final PartitionIndex index = new PartitionIndex(MAX_KEYS);
  private final CoalescedReads reads = new CoalescedReads(this::readOrList);

  TurnPartition(TurnContext context, RecordCache cache, TurnWriter writer, int number) {
    this.store = context.store();
    this.clock = context.clock();
    this.log = context.log();
    this.metrics = context.metrics();
    this.cache = cache;
    this.writer = writer;
    this.number = number;
  }

  /** Completes once all records have been read that the partition held at this call. */
  Future<Void> readToEnd() {
    return reads.readToEnd();
  }

  /** Returns whether a key that was not found after a read is absent from the partition. */
  boolean isComplete() {
    return index.isComplete();
  }

  boolean contains(String key) {
    return index.offsetOf(key, clock.millis()).isPresent();
  }

  /** Returns the record of a key, which is read again from the store if it has been evicted. */
  Future<Optional<HistoryRecord>> find(String key) {
    long nowMs = clock.millis();
    OptionalLong offset = index.offsetOf(key, nowMs);
    Optional<HistoryRecord> cached = cache.find(key, nowMs);
    if (offset.isEmpty() || cached.isPresent()) {
      return Future.succeededFuture(cached);
    }
    return store
        .read(TurnWriter.TOPIC, number, offset.getAsLong(), 0)
        .map(page -> decodeFirst(page.records(), key))
        .recover(e -> StoreException.isExpired(e) ? findInListing(key) : Future.failedFuture(e));
  }

  // The listing may be larger than the cache, so the record is taken from the listing itself.
  private Future<Optional<HistoryRecord>> findInListing(String key) {
    return list().map(listing -> decodeFirst(listing.records(), key));
  }

  private Optional<HistoryRecord> decodeFirst(List<StoreRecord> records, String key) {
    return records.stream()
        .filter(each -> each.key().equals(key))
        .findFirst()
        .flatMap(this::decodeToCache);
  }

  private Future<Void> readOrList() {
    return index.isLoaded() ? readPages() : list().mapEmpty();
  }

  private Future<StoreClient.Listing> list() {
    return store
        .listNewest(TurnWriter.TOPIC, number)
        .onSuccess(
            listing -> {
              index.beginListing();
              listing.records().forEach(this::apply);
              index.recordReadUpTo(listing.end());
              log.line("turns_listed")
                  .put("partition", number)
                  .put("records", listing.records().size())
                  .put("end", listing.end())
                  .write();
            });
  }

  private Future<Void> readPages() {
    long from = index.nextOffset();
    return store
        .read(TurnWriter.TOPIC, number, from, 0)
        .compose(
            page -> {
              page.records().forEach(this::apply);
              index.recordReadUpTo(page.nextOffset());
              boolean isLast = page.nextOffset() <= from || page.nextOffset() >= page.end();
              return isLast ? Future.succeededFuture() : readPages();
            },
            e -> StoreException.isExpired(e) ? list().mapEmpty() : Future.failedFuture(e));
  }

  private void apply(StoreRecord read) {
    if (read.value().isEmpty()) {
      index.remove(read.key());
      cache.remove(read.key());
      return;
    }
    decodeToCache(read)
        .ifPresent(
            decoded -> {
              index.add(read.key(), read.offset(), decoded.keptUntilMs());
              writer.recordStored(decoded);
            });
  }

  private Optional<HistoryRecord> decodeToCache(StoreRecord read) {
    try {
      if (read.value().isEmpty()) {
        return Optional.empty();
      }
      HistoryRecord decoded = HistoryRecord.decode(read.key(), read.value().get());
      cache.put(decoded);
      return Optional.of(decoded);
    } catch (MalformedRecordException e) {
      log.line("record_malformed")
          .put("topic", TurnWriter.TOPIC)
          .put("problem", String.valueOf(e.getMessage()))
          .write();
      return Optional.empty();
    }
  }

  boolean isLoaded() {
    return index.isLoaded();
  }

  /**
   * Appends tombstones for expired records. The append is conditional: a record that was renewed
   * since the last read must not be deleted. After a conflict, the new records are read first.
   *
   * @param mayCall returns whether another call may be made
   */
  void deleteExpired(BooleanSupplier mayCall) {
    List<String> expired = index.expiredKeys(clock.millis(), MAX_TOMBSTONES);
    if (expired.isEmpty() || !mayCall.getAsBoolean()) {
      return;
    }
    List<KeyValue> tombstones = expired.stream().map(key -> new KeyValue(key, TOMBSTONE)).toList();
    store
        .append(TurnWriter.TOPIC, number, Optional.of(index.nextOffset()), tombstones)
        .onSuccess(
            end -> {
              expired.forEach(index::remove);
              index.recordReadUpTo(end);
              metrics.countTurns("expired", expired.size());
              deleteExpired(mayCall);
            })
        .onFailure(
            e -> {
              if (StoreException.isConflict(e)) {
                readToEnd().onSuccess(read -> deleteExpired(mayCall));
              }
            });
  }
}
