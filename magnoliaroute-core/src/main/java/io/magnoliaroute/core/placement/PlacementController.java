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
 * Keeps the engines of one endpoint group loaded with what is wanted, within the weight store's
 * rate.
 *
 * <p>Each order carries the owner's fencing token. Engines that check tokens refuse the orders of
 * an earlier owner. Engines that ignore tokens may carry one out; the owner lists every engine
 * periodically and orders again what differs, so that the engine converges once the earlier owner
 * has seen the change of owners. A stale order does no harm beyond latency in between: each call
 * names its model variant, an engine that has not loaded it refuses the call as not run, and the
 * call goes to another engine or waits for the load. Not safe for use by several threads.
 */
public final class PlacementController {

  private final PlacementSettings settings;
  private final StoreRate storeRate;
  private final Map<EndpointId, EnginePlacement> engines = new TreeMap<>();
  private long fencingToken;
  private boolean fenced;

  /** Makes the controller of an owner whose claim has the given offset. */
  public PlacementController(PlacementSettings settings, long fencingToken, long nowMs) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.storeRate = new StoreRate(settings, nowMs);
    this.fencingToken = fencingToken;
  }

  /** Sets what the engine should have loaded, with the size of each variant's weights. */
  public void want(EndpointId endpoint, Map<ModelVariant, Long> sizeBytes) {
    EnginePlacement engine = engines.computeIfAbsent(endpoint, id -> new EnginePlacement());
    engine.wantedSizeBytes.clear();
    engine.wantedSizeBytes.putAll(sizeBytes);
  }

  /** Removes an engine that has left the group. */
  public void removeEndpoint(EndpointId endpoint) {
    engines.remove(endpoint);
  }

  /** Sets the offset of a newer claim of this owner, after which it may order again. */
  public void renewToken(long token) {
    if (token <= fencingToken) {
      throw new IllegalArgumentException("token must exceed " + fencingToken + ", was " + token);
    }
    fencingToken = token;
    fenced = false;
  }

  /** Returns whether an engine has named a newer owner; this owner must re-read its claims. */
  public boolean isFenced() {
    return fenced;
  }

  /** Takes in what an engine says that it has loaded. */
  public void onListing(EndpointId endpoint, Set<ModelVariant> loaded) {
    EnginePlacement engine = engines.get(endpoint);
    if (engine != null) {
      engine.listed(loaded);
    }
  }

  /** Takes in the answer to an order. An answer to an order with an earlier token is ignored. */
  public void onAnswer(PlacementOrder order, Answer answer) {
    EnginePlacement engine = engines.get(order.endpoint());
    if (engine == null || order.fencingToken() != fencingToken) {
      return;
    }
    if (answer == Answer.OLD_TOKEN) {
      fenced = true;
    } else {
      engine.answered();
    }
  }

  /** Returns the engines that have loaded the variant, in order of their id. */
  public List<EndpointId> serving(ModelVariant variant) {
    List<EndpointId> serving = new ArrayList<>();
    for (Map.Entry<EndpointId, EnginePlacement> engine : engines.entrySet()) {
      if (engine.getValue().loaded.contains(variant)) {
        serving.add(engine.getKey());
      }
    }
    return serving;
  }

  /** Returns the engines to request a listing from now. */
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
   * Returns the orders to send now. Variants that the fewest engines serve are loaded first, and
   * one that must wait for the store's rate keeps its place.
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
