package io.magnoliaroute.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Placement state of one engine: desired variants, variants of its last listing, and backoff of
 * orders.
 */
final class EngineState {

  private static final int MAX_DOUBLINGS = 16;

  final Map<ModelVariant, Long> desiredSizeBytes = new TreeMap<>();
  final Set<ModelVariant> loaded = new HashSet<>();
  private final Map<ModelVariant, OrderBackoff> backoffs = new HashMap<>();
  private boolean listed;
  private boolean listingNeeded = true;
  private long nextListingMs = Long.MIN_VALUE;

  private static final class OrderBackoff {
    private int failures;
    private long notBeforeMs;
  }

  /** Returns whether the engine has sent a listing. No order is sent to the engine before. */
  boolean isListed() {
    return listed;
  }

  boolean isOrderAllowed(ModelVariant variant, long nowMs) {
    OrderBackoff backoff = backoffs.get(variant);
    return backoff == null || nowMs >= backoff.notBeforeMs;
  }

  void recordOrder(ModelVariant variant, PlacementSettings settings, long nowMs) {
    OrderBackoff backoff = backoffs.computeIfAbsent(variant, v -> new OrderBackoff());
    long backoffMs = settings.orderTimeoutMs() << Math.min(backoff.failures, MAX_DOUBLINGS);
    backoff.notBeforeMs = nowMs + Math.min(backoffMs, settings.maxBackoffMs());
    backoff.failures++;
  }

  /**
   * Requests a listing after the response to an order, because only a listing shows what an engine
   * has loaded.
   */
  void recordResponse() {
    listingNeeded = true;
  }

  void applyListing(Set<ModelVariant> variants) {
    listed = true;
    loaded.clear();
    loaded.addAll(variants);
    backoffs.keySet().removeIf(v -> variants.contains(v) == desiredSizeBytes.containsKey(v));
  }

  boolean pollListingDue(PlacementSettings settings, long nowMs) {
    if (!listingNeeded && nowMs < nextListingMs) {
      return false;
    }
    listingNeeded = false;
    // Until the first listing the request is repeated after the order timeout.
    nextListingMs = nowMs + (listed ? settings.listingPeriodMs() : settings.orderTimeoutMs());
    return true;
  }
}
