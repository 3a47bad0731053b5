package io.magnoliaroute.core.gateway.history;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the records that were used last in memory, up to a limit in bytes. Evicted records can be
 * read from the store. Not thread-safe.
 */
public final class RecordCache {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 256;

  private final long maxBytes;
  private final Map<String, HistoryRecord> records =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long usedBytes;

  /** Creates an empty cache. */
  public RecordCache(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds a record, unless a newer one of its key is present, and evicts the least recent ones. */
  public void put(HistoryRecord newRecord) {
    HistoryRecord present = records.get(newRecord.key());
    if (present != null && present.keptUntilMs() > newRecord.keptUntilMs()) {
      return;
    }
    remove(newRecord.key());
    if (newRecord.sizeBytes() > maxBytes) {
      return;
    }
    records.put(newRecord.key(), newRecord);
    usedBytes += newRecord.sizeBytes();
    Iterator<HistoryRecord> eldest = records.values().iterator();
    while (usedBytes > maxBytes) {
      usedBytes -= eldest.next().sizeBytes();
      eldest.remove();
    }
  }

  /** Returns a record that has not expired. */
  public Optional<HistoryRecord> find(String key, long nowMs) {
    return Optional.ofNullable(records.get(key)).filter(found -> found.keptUntilMs() > nowMs);
  }

  /** Removes a record. */
  public void remove(String key) {
    HistoryRecord removed = records.remove(key);
    usedBytes -= removed == null ? 0 : removed.sizeBytes();
  }

  /** Removes the records that have expired; returns how many. */
  public int removeExpired(long nowMs) {
    int before = records.size();
    records
        .values()
        .removeIf(
            each -> {
              boolean expired = each.keptUntilMs() <= nowMs;
              usedBytes -= expired ? each.sizeBytes() : 0;
              return expired;
            });
    return before - records.size();
  }

  /** Returns the memory that the records take. */
  public long usedBytes() {
    return usedBytes;
  }
}
