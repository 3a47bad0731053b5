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
public final class EndpointTable {

  private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();
  private final GroupHealth groupHealth = new GroupHealth();
  private double slotsAtLastHealthUpdate;

  /** Adds or updates an endpoint. Calls already in progress on it remain counted. */
  public void put(
      EndpointId id,
      DataCentreId dataCentre,
      int windowSlots,
      int urgentReservedSlots,
      Set<String> loadedModels,
      boolean draining) {
    states
        .computeIfAbsent(id, EndpointState::new)
        .configure(dataCentre, windowSlots, urgentReservedSlots, loadedModels, draining);
  }

  /** Removes an endpoint. Calls in progress on it remain counted until they end. */
  public void remove(EndpointId id) {
    EndpointState endpoint = states.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.markRemoved();
    removeIfUnused(endpoint);
  }

  /** Returns whether any endpoint accepts new calls, with or without a free slot. */
  public boolean hasUsableEndpoint() {
    for (EndpointState endpoint : states.values()) {
      if (endpoint.acceptsNewCalls()) {
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
    for (EndpointState endpoint : states.values()) {
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
  public long occupySlot(EndpointId id, boolean urgent, int uncachedTokens, long nowMs) {
    EndpointState endpoint = states.get(id);
    if (endpoint == null) {
      return uncachedTokens;
    }
    if (endpoint.outstanding() == 0) {
      endpoint.health.restartProgressTimer(nowMs);
      if (endpoint.health.isSlow()) {
        endpoint.health.startProbe(nowMs);
      }
    }
    endpoint.occupySlot(urgent);
    endpoint.health.addPendingPrompt(uncachedTokens);
    return endpoint.health.pendingPromptTokens();
  }

  /**
   * Records the end of a call; {@code pendingTokens} are its prompt tokens if it had no first
   * token.
   */
  public void freeSlot(EndpointId id, boolean urgent, int pendingTokens) {
    EndpointState endpoint = states.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.freeSlot(urgent);
    endpoint.health.addPendingPrompt(-pendingTokens);
    removeIfUnused(endpoint);
  }

  /**
   * Records the first token of a call.
   *
   * @param uncachedTokens prompt tokens that the endpoint was expected to compute for the call
   * @param promptTokensAhead the value that {@link #occupySlot} returned for the call
   */
  public void recordFirstToken(
      EndpointId id,
      long timeToFirstTokenMs,
      int uncachedTokens,
      long promptTokensAhead,
      long nowMs) {
    EndpointState endpoint = states.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.health.addPendingPrompt(-uncachedTokens);
    double ratio = groupHealth.firstTokenRatio(timeToFirstTokenMs, promptTokensAhead);
    endpoint.health.recordFirstToken(ratio, nowMs);
    if (!endpoint.health.isSlow()) {
      groupHealth.recordPromptTime(timeToFirstTokenMs, promptTokensAhead);
    }
  }

  /** Records output tokens received over a period of time. */
  public void recordTokens(EndpointId id, int tokens, long spanMs, long nowMs) {
    EndpointState endpoint = states.get(id);
    if (endpoint == null || tokens < 1 || spanMs < 0) {
      return;
    }
    endpoint.health.recordTokens(tokens, spanMs, nowMs);
  }

  /** Records a call that the endpoint completed, with or without tokens. */
  public void recordCompletion(EndpointId id, long nowMs) {
    EndpointState endpoint = states.get(id);
    if (endpoint != null) {
      endpoint.health.recordProgress(nowMs);
    }
  }

  /** Records a call that failed on the endpoint. */
  public void recordFailure(EndpointId id) {
    EndpointState endpoint = states.get(id);
    if (endpoint != null) {
      endpoint.health.recordFailure();
    }
  }

  /** Updates the health of all endpoints if 100 ms have passed since the last update. */
  public void updateHealth(long nowMs) {
    if (groupHealth.updateIfDue(states.values(), nowMs)) {
      slotsAtLastHealthUpdate = effectiveSlots();
    }
  }

  /** Returns the number of effective slots at the last health update. */
  public double slotsAtLastHealthUpdate() {
    return slotsAtLastHealthUpdate;
  }

  /** Returns whether the endpoint is slow, so that new calls are routed to other endpoints. */
  public boolean isSlow(EndpointId id) {
    EndpointState endpoint = states.get(id);
    return endpoint != null && endpoint.health.isSlow();
  }

  /**
   * Returns the factor by which the endpoint is slower than the group; 1 for an unknown endpoint.
   */
  public double slowdown(EndpointId id) {
    EndpointState endpoint = states.get(id);
    return endpoint == null ? 1 : endpoint.health.slowdown();
  }

  /** Returns the number of calls in progress on the endpoint. */
  public int outstanding(EndpointId id) {
    EndpointState endpoint = states.get(id);
    return endpoint == null ? 0 : endpoint.outstanding();
  }

  /**
   * Returns the share of the slots of usable endpoints that is in use; 1 without usable endpoints.
   */
  public double utilisation() {
    int usedSlots = 0;
    int slots = 0;
    for (EndpointState endpoint : states.values()) {
      if (endpoint.acceptsNewCalls()) {
        usedSlots += endpoint.outstanding();
        slots += endpoint.windowSlots();
      }
    }
    return slots == 0 ? 1 : (double) usedSlots / slots;
  }

  /** Returns the unreserved slots of usable endpoints, each endpoint divided by its slowdown. */
  public double effectiveSlots() {
    double slots = 0;
    for (EndpointState endpoint : states.values()) {
      if (endpoint.acceptsNewCalls()) {
        slots += endpoint.unreservedSlots() / endpoint.health.slowdown();
      }
    }
    return slots;
  }

  /** Returns the median time between output tokens. */
  public double interTokenMs() {
    return groupHealth.interTokenMs();
  }

  /** Returns the mean time to compute the given number of prompt tokens. */
  public double promptMs(long tokens) {
    return groupHealth.promptMs(tokens);
  }

  /** Returns the usable endpoint with the fewest calls in progress, ignoring windows. */
  public Optional<EndpointId> leastOutstanding() {
    EndpointState best = null;
    for (EndpointState endpoint : states.values()) {
      boolean better = best == null || endpoint.outstanding() < best.outstanding();
      if (endpoint.acceptsNewCalls() && better) {
        best = endpoint;
      }
    }
    return Optional.ofNullable(best).map(endpoint -> endpoint.id);
  }

  /** Returns the usable endpoint at the given round-robin index, ignoring windows. */
  public Optional<EndpointId> roundRobin(long index) {
    long usable = states.values().stream().filter(EndpointState::acceptsNewCalls).count();
    if (usable == 0) {
      return Optional.empty();
    }
    return states.values().stream()
        .filter(EndpointState::acceptsNewCalls)
        .skip(Math.floorMod(index, usable))
        .findFirst()
        .map(endpoint -> endpoint.id);
  }

  Iterable<EndpointState> states() {
    return states.values();
  }

  EndpointState state(EndpointId id) {
    return states.get(id);
  }

  private void removeIfUnused(EndpointState endpoint) {
    if (endpoint.isRemoved() && endpoint.outstanding() == 0) {
      states.remove(endpoint.id);
    }
  }
}
