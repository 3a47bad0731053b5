package io.magnoliaroute.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What one engine should load, what it has listed, and the orders that wait. */
final class EnginePlacement {

  private static final int MAX_DOUBLINGS = 16;

  final Map<ModelVariant, Long> wantedSizeBytes = new TreeMap<>();
  final Set<ModelVariant> loaded = new HashSet<>();
  private final Map<ModelVariant, Attempt> attempts = new HashMap<>();
  private boolean listed;
  private boolean listingNeeded = true;
  private long nextListingMs = Long.MIN_VALUE;

  private static final class Attempt {
    private int failures;
    private long notBeforeMs;
  }

  /** Returns whether anything is known of the engine; nothing is ordered before. */
  boolean isListed() {
    return listed;
  }

  boolean mayOrder(ModelVariant variant, long nowMs) {
    Attempt attempt = attempts.get(variant);
    return attempt == null || nowMs >= attempt.notBeforeMs;
  }

  void ordered(ModelVariant variant, PlacementSettings settings, long nowMs) {
    Attempt attempt = attempts.computeIfAbsent(variant, v -> new Attempt());
    long backoffMs = settings.orderTimeoutMs() << Math.min(attempt.failures, MAX_DOUBLINGS);
    attempt.notBeforeMs = nowMs + Math.min(backoffMs, settings.maxBackoffMs());
    attempt.failures++;
  }

  /** Asks for a listing, as only a listing proves what an engine has loaded. */
  void answered() {
    listingNeeded = true;
  }

  void listed(Set<ModelVariant> variants) {
    listed = true;
    loaded.clear();
    loaded.addAll(variants);
    attempts.keySet().removeIf(v -> variants.contains(v) == wantedSizeBytes.containsKey(v));
  }

  boolean takeListingDue(PlacementSettings settings, long nowMs) {
    if (!listingNeeded && nowMs < nextListingMs) {
      return false;
    }
    listingNeeded = false;
    // Until the first answer the request is repeated as often as an order.
    nextListingMs = nowMs + (listed ? settings.listingPeriodMs() : settings.orderTimeoutMs());
    return true;
  }
}
