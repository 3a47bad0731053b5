package io.magnoliaroute.core.placement;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.placement.PlacementOrder.Action;
import io.magnoliaroute.core.placement.PlacementOrder.Answer;
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
  private final StoreRate storeRate;
  private final Map<EndpointId, EnginePlacement> engines = new TreeMap<>();
  private long fencingToken;
  private boolean fenced;

  /**
   * Creates a controller for an owner whose claim has the given log offset as its fencing token.
   */
  public PlacementController(PlacementSettings settings, long fencingToken, long nowMs) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.storeRate = new StoreRate(settings, nowMs);
    this.fencingToken = fencingToken;
  }

  /** Sets the desired variants of an engine with the size of their weights. */
  public void want(EndpointId endpoint, Map<ModelVariant, Long> sizeBytes) {
    EnginePlacement engine = engines.computeIfAbsent(endpoint, id -> new EnginePlacement());
    engine.wantedSizeBytes.clear();
    engine.wantedSizeBytes.putAll(sizeBytes);
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
    EnginePlacement engine = engines.get(endpoint);
    if (engine != null) {
      engine.listed(loaded);
    }
  }

  /** Processes the response to an order. Responses to orders with an earlier token are ignored. */
  public void onAnswer(PlacementOrder order, Answer response) {
    EnginePlacement engine = engines.get(order.endpoint());
    if (engine == null || order.fencingToken() != fencingToken) {
      return;
    }
    if (response == Answer.OLD_TOKEN) {
      fenced = true;
    } else {
      engine.answered();
    }
  }

  /** Returns the engines that have loaded the variant, ordered by id. */
  public List<EndpointId> serving(ModelVariant variant) {
    List<EndpointId> serving = new ArrayList<>();
    for (Map.Entry<EndpointId, EnginePlacement> engine : engines.entrySet()) {
      if (engine.getValue().loaded.contains(variant)) {
        serving.add(engine.getKey());
      }
    }
    return serving;
  }

  /** Returns the engines from which a listing must be requested now. */
  public List<EndpointId> listingsDue(long nowMs) {
    List<EndpointId> due = new ArrayList<>();
    for (Map.Entry<EndpointId, EnginePlacement> engine : engines.entrySet()) {
      if (engine.getValue().takeListingDue(settings, nowMs)) {
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
    for (Map.Entry<EndpointId, EnginePlacement> entry : engines.entrySet()) {
      unload(entry.getKey(), entry.getValue(), nowMs, orders);
    }
    for (Load load : missing(nowMs)) {
      if (!storeRate.tryTake(load.sizeBytes(), nowMs)) {
        break;
      }
      order(load.endpoint(), Action.LOAD, load.variant(), nowMs, orders);
    }
    return orders;
  }

  private record Load(EndpointId endpoint, ModelVariant variant, long sizeBytes, int serving) {}

  private List<Load> missing(long nowMs) {
    List<Load> missing = new ArrayList<>();
    for (Map.Entry<EndpointId, EnginePlacement> entry : engines.entrySet()) {
      EnginePlacement engine = entry.getValue();
      for (Map.Entry<ModelVariant, Long> wanted : engine.wantedSizeBytes.entrySet()) {
        ModelVariant variant = wanted.getKey();
        boolean needed = engine.isListed() && !engine.loaded.contains(variant);
        if (needed && engine.mayOrder(variant, nowMs)) {
          int serving = serving(variant).size();
          missing.add(new Load(entry.getKey(), variant, wanted.getValue(), serving));
        }
      }
    }
    missing.sort(Comparator.comparingInt(Load::serving));
    return missing;
  }

  private void unload(
      EndpointId endpoint, EnginePlacement engine, long nowMs, List<PlacementOrder> orders) {
    Set<ModelVariant> surplus = new HashSet<>(engine.loaded);
    surplus.removeAll(engine.wantedSizeBytes.keySet());
    for (ModelVariant variant : surplus) {
      if (engine.mayOrder(variant, nowMs)) {
        order(endpoint, Action.UNLOAD, variant, nowMs, orders);
      }
    }
  }

  private void order(
      EndpointId endpoint,
      Action action,
      ModelVariant variant,
      long nowMs,
      List<PlacementOrder> orders) {
    engines.get(endpoint).ordered(variant, settings, nowMs);
    orders.add(new PlacementOrder(endpoint, action, variant, fencingToken));
  }
}
