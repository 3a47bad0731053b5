package io.magnoliaroute.core.placement;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.placement.PlacementOrder.Action;
import io.magnoliaroute.core.placement.PlacementOrder.Response;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reconciles the model variants loaded on the engines of one endpoint group with the desired ones,
 * within the rate limit of the weight store.
 *
 * <p>Each order carries the fencing token of the owner. Engines that check tokens refuse orders of
 * a previous owner. Engines that ignore tokens may execute them; the owner therefore requests a
 * listing of every engine periodically and sends new orders for any difference, so that the engine
 * converges once the previous owner has learned of the owner change. Until then a stale order only
 * adds latency: each call names its model variant, an engine that has not loaded it refuses the
 * call without running it, and the call is routed to another engine or waits for the load. Not
 * thread-safe.
 */
public final class PlacementController {

  private final PlacementSettings settings;
  private final StoreRateLimiter storeRate;
  private final Map<EndpointId, EngineState> engines = new TreeMap<>();
  private long fencingToken;
  private boolean fenced;

  /**
   * Creates a controller for an owner whose claim has the given log offset as its fencing token.
   */
  public PlacementController(PlacementSettings settings, long fencingToken, long nowMs) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.storeRate = new StoreRateLimiter(settings, nowMs);
    this.fencingToken = fencingToken;
  }

  /** Sets the desired variants of an engine with the size of their weights. */
  public void setDesired(EndpointId endpoint, Map<ModelVariant, Long> sizeBytes) {
    EngineState engine = engines.computeIfAbsent(endpoint, id -> new EngineState());
    engine.desiredSizeBytes.clear();
    engine.desiredSizeBytes.putAll(sizeBytes);
  }

  /** Removes an engine that no longer belongs to the group. */
  public void removeEndpoint(EndpointId endpoint) {
    engines.remove(endpoint);
  }

  /**
   * Sets the fencing token to the log offset of a newer claim of this owner, which allows it to
   * send orders again.
   */
  public void renewToken(long token) {
    if (token <= fencingToken) {
      throw new IllegalArgumentException("token must exceed " + fencingToken + ", was " + token);
    }
    fencingToken = token;
    fenced = false;
  }

  /**
   * Returns whether an engine has refused the fencing token of this owner as old. The owner must
   * then re-read its claims.
   */
  public boolean isFenced() {
    return fenced;
  }

  /** Records the variants that an engine reported as loaded. */
  public void onListing(EndpointId endpoint, Set<ModelVariant> loaded) {
    EngineState engine = engines.get(endpoint);
    if (engine != null) {
      engine.applyListing(loaded);
    }
  }

  /** Processes the response to an order. Responses to orders with an earlier token are ignored. */
  public void onResponse(PlacementOrder order, Response response) {
    EngineState engine = engines.get(order.endpoint());
    if (engine == null || order.fencingToken() != fencingToken) {
      return;
    }
    if (response == Response.OLD_TOKEN) {
      fenced = true;
    } else {
      engine.recordResponse();
    }
  }

  /** Returns the engines that have loaded the variant, ordered by id. */
  public List<EndpointId> enginesServing(ModelVariant variant) {
    List<EndpointId> result = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineState> engine : engines.entrySet()) {
      if (engine.getValue().loaded.contains(variant)) {
        result.add(engine.getKey());
      }
    }
    return result;
  }

  /** Returns the engines from which a listing must be requested now. */
  public List<EndpointId> listingsDue(long nowMs) {
    List<EndpointId> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineState> engine : engines.entrySet()) {
      if (engine.getValue().pollListingDue(settings, nowMs)) {
        due.add(engine.getKey());
      }
    }
    return due;
  }

  /**
   * Returns the orders to send now. Variants that are loaded on the fewest engines are loaded
   * first. A load that must wait for the rate limit of the weight store also delays the loads after
   * it.
   */
  public List<PlacementOrder> poll(long nowMs) {
    List<PlacementOrder> orders = new ArrayList<>();
    if (fenced) {
      return orders;
    }
    for (Map.Entry<EndpointId, EngineState> entry : engines.entrySet()) {
      addUnloads(entry.getKey(), entry.getValue(), nowMs, orders);
    }
    for (PendingLoad load : missingLoads(nowMs)) {
      if (!storeRate.tryTake(load.sizeBytes(), nowMs)) {
        break;
      }
      addOrder(load.endpoint(), Action.LOAD, load.variant(), nowMs, orders);
    }
    return orders;
  }

  private record PendingLoad(
      EndpointId endpoint, ModelVariant variant, long sizeBytes, int servingEngines) {}

  private List<PendingLoad> missingLoads(long nowMs) {
    List<PendingLoad> missing = new ArrayList<>();
    for (Map.Entry<EndpointId, EngineState> entry : engines.entrySet()) {
      EngineState engine = entry.getValue();
      for (Map.Entry<ModelVariant, Long> desired : engine.desiredSizeBytes.entrySet()) {
        ModelVariant variant = desired.getKey();
        boolean needed = engine.isListed() && !engine.loaded.contains(variant);
        if (needed && engine.isOrderAllowed(variant, nowMs)) {
          int servingEngines = enginesServing(variant).size();
          missing.add(new PendingLoad(entry.getKey(), variant, desired.getValue(), servingEngines));
        }
      }
    }
    missing.sort(Comparator.comparingInt(PendingLoad::servingEngines));
    return missing;
  }

  private void addUnloads(
      EndpointId endpoint, EngineState engine, long nowMs, List<PlacementOrder> orders) {
    Set<ModelVariant> surplus = new HashSet<>(engine.loaded);
    surplus.removeAll(engine.desiredSizeBytes.keySet());
    for (ModelVariant variant : surplus) {
      if (engine.isOrderAllowed(variant, nowMs)) {
        addOrder(endpoint, Action.UNLOAD, variant, nowMs, orders);
      }
    }
  }

  private void addOrder(
      EndpointId endpoint,
      Action action,
      ModelVariant variant,
      long nowMs,
      List<PlacementOrder> orders) {
    engines.get(endpoint).recordOrder(variant, settings, nowMs);
    orders.add(new PlacementOrder(endpoint, action, variant, fencingToken));
  }
}
