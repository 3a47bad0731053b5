package io.magnoliaroute.core.gateway.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The keys that one partition of the store holds, with their offsets and the times until which they
 * are kept. Not thread-safe.
 */
public final class PartitionIndex {

  private static final long NOT_LOADED = -1;

  private record Location(long offset, long keptUntilMs) {}

  private final int maxKeys;
  private final Map<String, Location> locations = new LinkedHashMap<>();
  private long nextOffset = NOT_LOADED;
  private boolean truncated;

  /**
   * Creates an index that is not loaded.
   *
   * @param maxKeys limit of the keys; beyond it, the index forgets the oldest and proves nothing
   */
  public PartitionIndex(int maxKeys) {
    this.maxKeys = maxKeys;
  }

  /** Returns whether the partition has been listed. */
  public boolean isLoaded() {
    return nextOffset != NOT_LOADED;
  }

  /** Returns whether a key that is absent from the index is absent from the partition. */
  public boolean isComplete() {
    return isLoaded() && !truncated;
  }

  /** Begins a listing, which replaces all that was known. */
  public void beginListing() {
    locations.clear();
    truncated = false;
  }

  /** Records the offset up to which the partition has been read. */
  public void recordReadUpTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Adds the newest record of a key. */
  public void add(String key, long offset, long keptUntilMs) {
    locations.remove(key);
    locations.put(key, new Location(offset, keptUntilMs));
    if (locations.size() > maxKeys) {
      locations.remove(locations.keySet().iterator().next());
      truncated = true;
    }
  }

  /** Removes a key that was deleted from the partition. */
  public void remove(String key) {
    locations.remove(key);
  }

  /** Returns the offset of a record that has not expired. */
  public OptionalLong offsetOf(String key, long nowMs) {
    Location found = locations.get(key);
    return found == null || found.keptUntilMs() <= nowMs
        ? OptionalLong.empty()
        : OptionalLong.of(found.offset());
  }

  /** Returns keys whose records have expired, up to a limit. */
  public List<String> expiredKeys(long nowMs, int limit) {
    List<String> expired = new ArrayList<>();
    for (Map.Entry<String, Location> each : locations.entrySet()) {
      if (each.getValue().keptUntilMs() <= nowMs) {
        expired.add(each.getKey());
      }
      if (expired.size() >= limit) {
        return expired;
      }
    }
    return expired;
  }

  /** Returns the number of keys. */
  public int size() {
    return locations.size();
  }
}
