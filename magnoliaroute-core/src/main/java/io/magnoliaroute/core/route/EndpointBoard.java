package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State of the endpoints of one group: windows, calls in progress and health. The group scheduler
 * records admissions and observations; {@link RouteChooser} reads the state. Not thread-safe;
 * guarded by the lock of the group scheduler.
 */
public final class EndpointBoard {

  private final Map<EndpointId, EndpointLoad> loads = new LinkedHashMap<>();
  private final GroupHealth health = new GroupHealth();
  private double slotsAtLastJudgement;

  /** Adds or updates an endpoint. Calls already in progress on it remain counted. */
  public void put(
      EndpointId id,
      DataCentreId dataCentre,
      int windowSlots,
      int urgentReservedSlots,
      Set<String> loadedModels,
      boolean draining) {
    loads
        .computeIfAbsent(id, EndpointLoad::new)
        .configure(dataCentre, windowSlots, urgentReservedSlots, loadedModels, draining);
  }

  /** Removes an endpoint. Calls in progress on it remain counted until they end. */
  public void remove(EndpointId id) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.markRemoved();
    dropIfUnused(endpoint);
  }

  /** Returns whether any endpoint accepts new calls, with or without a free slot. */
  public boolean hasUsableEndpoint() {
    for (EndpointLoad endpoint : loads.values()) {
      if (endpoint.takesNewWork()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether any endpoint has a slot free for an urgent call or for another call, regardless
   * of health.
   */
  public boolean hasFreeSlot(boolean urgent) {
    for (EndpointLoad endpoint : loads.values()) {
      if (endpoint.hasFreeSlot(urgent)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records a call that was sent to the endpoint.
   *
   * @return the prompt tokens that the endpoint computes before the first token of the call,
   *     including those of the call itself
   */
  public long occupy(EndpointId id, boolean urgent, int uncachedTokens, long nowMs) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint == null) {
      return uncachedTokens;
    }
    if (endpoint.outstanding() == 0) {
      endpoint.health.startWork(nowMs);
      if (endpoint.health.isSlow()) {
        endpoint.health.startProbe(nowMs);
      }
    }
    endpoint.occupy(urgent);
    endpoint.health.addPendingPrompt(uncachedTokens);
    return endpoint.health.pendingPromptTokens();
  }

  /**
   * Records the end of a call; {@code pendingTokens} are its prompt tokens if it had no first
   * token.
   */
  public void vacate(EndpointId id, boolean urgent, int pendingTokens) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.vacate(urgent);
    endpoint.health.addPendingPrompt(-pendingTokens);
    dropIfUnused(endpoint);
  }

  /**
   * Records the first token of a call.
   *
   * @param uncachedTokens prompt tokens that the endpoint was expected to compute for the call
   * @param promptTokensAhead the value that {@link #occupy} returned for the call
   */
  public void sawFirstToken(
      EndpointId id,
      long timeToFirstTokenMs,
      int uncachedTokens,
      long promptTokensAhead,
      long nowMs) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.health.addPendingPrompt(-uncachedTokens);
    double ratio = health.firstTokenRatio(timeToFirstTokenMs, promptTokensAhead);
    endpoint.health.sawFirstToken(ratio, nowMs);
    if (!endpoint.health.isSlow()) {
      health.learnPrompt(timeToFirstTokenMs, promptTokensAhead);
    }
  }

  /** Records output tokens received over a period of time. */
  public void sawTokens(EndpointId id, int tokens, long spanMs, long nowMs) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint == null || tokens < 1 || spanMs < 0) {
      return;
    }
    endpoint.health.sawTokens(tokens, spanMs, nowMs);
  }

  /** Records a call that the endpoint completed, with or without tokens. */
  public void sawCompletion(EndpointId id, long nowMs) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint != null) {
      endpoint.health.sawProgress(nowMs);
    }
  }

  /** Records a call that failed on the endpoint. */
  public void sawFailure(EndpointId id) {
    EndpointLoad endpoint = loads.get(id);
    if (endpoint != null) {
      endpoint.health.sawFailure();
    }
  }

  /** Updates the health of all endpoints if 100 ms have passed since the last update. */
  public void judge(long nowMs) {
    if (health.judgeIfDue(loads.values(), nowMs)) {
      slotsAtLastJudgement = effectiveSlots();
    }
  }

  /** Returns the number of effective slots at the last health update. */
  public double slotsAtLastJudgement() {
    return slotsAtLastJudgement;
  }

  /** Returns whether the endpoint is slow, so that new calls are routed to other endpoints. */
  public boolean isSlow(EndpointId id) {
    EndpointLoad endpoint = loads.get(id);
    return endpoint != null && endpoint.health.isSlow();
  }

  /**
   * Returns the factor by which the endpoint is slower than the group; 1 for an unknown endpoint.
   */
  public double slowness(EndpointId id) {
    EndpointLoad endpoint = loads.get(id);
    return endpoint == null ? 1 : endpoint.health.slowness();
  }

  /** Returns the number of calls in progress on the endpoint. */
  public int outstanding(EndpointId id) {
    EndpointLoad endpoint = loads.get(id);
    return endpoint == null ? 0 : endpoint.outstanding();
  }

  /**
   * Returns the share of the slots of usable endpoints that is in use; 1 without usable endpoints.
   */
  public double utilisation() {
    int usedSlots = 0;
    int slots = 0;
    for (EndpointLoad endpoint : loads.values()) {
      if (endpoint.takesNewWork()) {
        usedSlots += endpoint.outstanding();
        slots += endpoint.windowSlots();
      }
    }
    return slots == 0 ? 1 : (double) usedSlots / slots;
  }

  /** Returns the unreserved slots of usable endpoints, each endpoint divided by its slowdown. */
  public double effectiveSlots() {
    double slots = 0;
    for (EndpointLoad endpoint : loads.values()) {
      if (endpoint.takesNewWork()) {
        slots += endpoint.unreservedSlots() / endpoint.health.slowness();
      }
    }
    return slots;
  }

  /** Returns the median time between output tokens. */
  public double paceMs() {
    return health.paceMs();
  }

  /** Returns the mean time to compute the given number of prompt tokens. */
  public double promptMs(long tokens) {
    return health.promptMs(tokens);
  }

  /** Returns the usable endpoint with the fewest calls in progress, ignoring windows. */
  public Optional<EndpointId> leastOutstanding() {
    EndpointLoad best = null;
    for (EndpointLoad endpoint : loads.values()) {
      boolean better = best == null || endpoint.outstanding() < best.outstanding();
      if (endpoint.takesNewWork() && better) {
        best = endpoint;
      }
    }
    return Optional.ofNullable(best).map(endpoint -> endpoint.id);
  }

  /** Returns the usable endpoint at the given round-robin index, ignoring windows. */
  public Optional<EndpointId> inTurn(long index) {
    long usable = loads.values().stream().filter(EndpointLoad::takesNewWork).count();
    if (usable == 0) {
      return Optional.empty();
    }
    return loads.values().stream()
        .filter(EndpointLoad::takesNewWork)
        .skip(Math.floorMod(index, usable))
        .findFirst()
        .map(endpoint -> endpoint.id);
  }

  Iterable<EndpointLoad> loads() {
    return loads.values();
  }

  EndpointLoad load(EndpointId id) {
    return loads.get(id);
  }

  private void dropIfUnused(EndpointLoad endpoint) {
    if (endpoint.isRemoved() && endpoint.outstanding() == 0) {
      loads.remove(endpoint.id);
    }
  }
}
