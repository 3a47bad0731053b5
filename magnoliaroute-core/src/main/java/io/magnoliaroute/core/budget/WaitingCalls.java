package io.magnoliaroute.core.budget;

import java.util.Map;
import java.util.TreeMap;

/**
 * The costs of calls that could not be reserved and may be tried again.
 *
 * <p>All costs are kept, not only the largest: one call that no longer fits into the budget must
 * not keep a slice from smaller ones.
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

  void expire(long nowMs, long keepMs) {
    askedMsByUnits.values().removeIf(askedMs -> nowMs - askedMs >= keepMs);
  }

  /** Returns the largest cost of at most {@code reachUnits}, or 0 if there is none. */
  long largestWithin(long reachUnits) {
    Long found = askedMsByUnits.floorKey(reachUnits);
    return found == null ? 0 : found;
  }
}
