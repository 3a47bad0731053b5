package io.magnoliaroute.core.budget;

import java.util.Map;
import java.util.TreeMap;

/**
 * The costs of calls that were refused a reservation and may be retried.
 *
 * <p>All distinct costs are kept, not only the largest, so that a call that no longer fits into the
 * budget does not prevent smaller calls from obtaining a slice.
 */
final class WaitingCalls {

  private static final int MAX_COSTS = 64;

  private final TreeMap<Long, Long> askedMsByUnits = new TreeMap<>();

  void add(long units, long nowMs) {
    askedMsByUnits.put(units, nowMs);
    if (askedMsByUnits.size() > MAX_COSTS) {
      removeOldest();
    }
  }

  private void removeOldest() {
    long oldest = askedMsByUnits.firstKey();
    for (Map.Entry<Long, Long> entry : askedMsByUnits.entrySet()) {
      if (entry.getValue() < askedMsByUnits.get(oldest)) {
        oldest = entry.getKey();
      }
    }
    askedMsByUnits.remove(oldest);
  }

  void served(long units) {
    askedMsByUnits.remove(units);
  }

  void expire(long nowMs, long expiryMs) {
    askedMsByUnits.values().removeIf(refusedMs -> nowMs - refusedMs >= expiryMs);
  }

  /** Returns the largest cost of at most {@code limitUnits}, or 0 if there is none. */
  long largestWithin(long limitUnits) {
    Long largest = askedMsByUnits.floorKey(limitUnits);
    return largest == null ? 0 : largest;
  }
}
