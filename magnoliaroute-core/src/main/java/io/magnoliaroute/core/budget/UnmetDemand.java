package io.magnoliaroute.core.budget;

import java.util.Map;
import java.util.TreeMap;

/**
 * The costs of calls that were refused a reservation and may be retried.
 *
 * <p>All distinct costs are kept, not only the largest, so that a call that no longer fits into the
 * budget does not prevent smaller calls from obtaining a slice.
 */
final class UnmetDemand {

  private static final int MAX_COSTS = 64;

  private final TreeMap<Long, Long> lastRefusedMsByUnits = new TreeMap<>();

  void add(long units, long nowMs) {
    lastRefusedMsByUnits.put(units, nowMs);
    if (lastRefusedMsByUnits.size() > MAX_COSTS) {
      removeOldest();
    }
  }

  private void removeOldest() {
    long oldest = lastRefusedMsByUnits.firstKey();
    for (Map.Entry<Long, Long> entry : lastRefusedMsByUnits.entrySet()) {
      if (entry.getValue() < lastRefusedMsByUnits.get(oldest)) {
        oldest = entry.getKey();
      }
    }
    lastRefusedMsByUnits.remove(oldest);
  }

  void remove(long units) {
    lastRefusedMsByUnits.remove(units);
  }

  void expire(long nowMs, long expiryMs) {
    lastRefusedMsByUnits.values().removeIf(refusedMs -> nowMs - refusedMs >= expiryMs);
  }

  /** Returns the largest cost of at most {@code limitUnits}, or 0 if there is none. */
  long largestAtMost(long limitUnits) {
    Long largest = lastRefusedMsByUnits.floorKey(limitUnits);
    return largest == null ? 0 : largest;
  }
}
