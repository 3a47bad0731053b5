package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses the endpoint of a call by the lowest expected cost in milliseconds. The cost comprises
 * the computation of uncached prompt tokens, the slower generation on slow or full endpoints, the
 * use of another data centre, a model load, and the wait for a slot of a full endpoint.
 */
public final class RouteChooser {

  /**
   * Keeps traffic in the local data centre while it has free slots; far below the cost of computing
   * a prompt.
   */
  private static final double OTHER_DATA_CENTRE_COST_MS = 25;

  /** Loading weights takes tens of seconds and uses the rate-limited weight store. */
  private static final double MODEL_LOAD_COST_MS = 30_000;

  /** Share by which the time between tokens is longer in a full batch than in an empty one. */
  private static final double FULL_BATCH_SLOWDOWN_SHARE = 0.2;

  /**
   * Cost of computing a prompt as a multiple of its duration, because it delays every stream of the
   * batch.
   */
  private static final double PROMPT_COST_FACTOR = 12;

  /** Higher than all other costs, so that an avoided endpoint is chosen last. */
  private static final double AVOIDED_ENDPOINT_COST_MS = 600_000;

  private final EndpointTable endpoints;
  private long lastRequestNumber;

  /** Creates a chooser that reads the given endpoint state. */
  public RouteChooser(EndpointTable endpoints) {
    this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
  }

  /**
   * Returns the endpoint with the lowest cost, or empty if no endpoint has a slot for the call.
   *
   * @param meanSlotMs the mean time for which a call holds a slot
   */
  public Optional<Placement> choose(RouteRequest request, double meanSlotMs, long nowMs) {
    storeCachedTokens(request);
    EndpointState free = cheapestFree(request, null, nowMs);
    if (request.urgent()) {
      return placement(request, free, false);
    }
    double freeCostMs = free == null ? Double.MAX_VALUE : costMs(request, free);
    EndpointState full = cheapestFull(request, meanSlotMs, freeCostMs);
    if (full != null) {
      full.addWaiter();
      return placement(request, full, true);
    }
    return placement(request, free, false);
  }

  /**
   * Returns the endpoint with a free slot and the lowest cost for a second attempt, other than the
   * given one.
   */
  public Optional<Placement> chooseOther(RouteRequest request, EndpointId excluded, long nowMs) {
    storeCachedTokens(request);
    return placement(request, cheapestFree(request, excluded, nowMs), false);
  }

  /**
   * Resets the number of calls waiting for each endpoint. Must be called at the start of each
   * dispatch.
   */
  public void startDispatch() {
    for (EndpointState endpoint : endpoints.states()) {
      endpoint.clearWaiters();
    }
  }

  /**
   * Returns the cost of computing prompt tokens for the call and the other streams of the batch.
   */
  public double promptCostMs(long tokens) {
    return PROMPT_COST_FACTOR * endpoints.promptMs(tokens);
  }

  private void storeCachedTokens(RouteRequest request) {
    lastRequestNumber++;
    for (Map.Entry<EndpointId, Integer> cached : request.cachedPrefixTokens().entrySet()) {
      EndpointState endpoint = endpoints.state(cached.getKey());
      if (endpoint != null) {
        endpoint.setCachedTokens(cached.getValue(), lastRequestNumber);
      }
    }
  }

  private int uncachedTokens(RouteRequest request, EndpointState endpoint) {
    return endpoint.uncachedTokens(request.promptTokens(), lastRequestNumber);
  }

  private Optional<Placement> placement(
      RouteRequest request, EndpointState endpoint, boolean waitForSlot) {
    if (endpoint == null) {
      return Optional.empty();
    }
    return Optional.of(
        new Placement(
            endpoint.id,
            waitForSlot,
            uncachedTokens(request, endpoint),
            !endpoint.hasLoaded(request.model())));
  }

  private EndpointState cheapestFree(RouteRequest request, EndpointId excluded, long nowMs) {
    EndpointState best = null;
    double bestCostMs = Double.MAX_VALUE;
    for (EndpointState endpoint : endpoints.states()) {
      if (!endpoint.hasFreeSlot(request.urgent()) || endpoint.id.equals(excluded)) {
        continue;
      }
      if (endpoint.health.isSlow() && isProbeDue(request, endpoint, nowMs)) {
        return endpoint;
      }
      double costMs = costMs(request, endpoint);
      if (costMs < bestCostMs && !isTooSlow(request, endpoint)) {
        best = endpoint;
        bestCostMs = costMs;
      }
    }
    return best;
  }

  /**
   * Returns whether the endpoint is slow and its slower service costs more than waiting in the
   * queue for another one.
   */
  private boolean isTooSlow(RouteRequest request, EndpointState endpoint) {
    return endpoint.health.isSlow() && slowdownCostMs(request, endpoint) > request.queueWaitMs();
  }

  private boolean isProbeDue(RouteRequest request, EndpointState endpoint, long nowMs) {
    return !request.urgent()
        && !request.avoidedEndpoints().contains(endpoint.id)
        && endpoint.outstanding() == 0
        && endpoint.health.isProbeDue(nowMs);
  }

  private EndpointState cheapestFull(RouteRequest request, double meanSlotMs, double maxCostMs) {
    EndpointState best = null;
    double bestCostMs = maxCostMs;
    // The iteration order of the key set differs between runs, so ties are broken by id.
    for (EndpointId id : request.cachedPrefixTokens().keySet()) {
      EndpointState endpoint = endpoints.state(id);
      if (endpoint == null || !isFullAndHealthy(endpoint)) {
        continue;
      }
      double costMs = waitCostMs(request, endpoint, meanSlotMs);
      boolean winsTie = costMs == bestCostMs && best != null && id.compareTo(best.id) < 0;
      if (costMs < bestCostMs || winsTie) {
        best = endpoint;
        bestCostMs = costMs;
      }
    }
    // Endpoints without a cached prefix cost at least the computation of the whole prompt.
    if (promptCostMs(request.promptTokens()) >= bestCostMs) {
      return best;
    }
    for (EndpointState endpoint : endpoints.states()) {
      if (!isFullAndHealthy(endpoint)) {
        continue;
      }
      double costMs = waitCostMs(request, endpoint, meanSlotMs);
      if (costMs < bestCostMs) {
        best = endpoint;
        bestCostMs = costMs;
      }
    }
    return best;
  }

  private static boolean isFullAndHealthy(EndpointState endpoint) {
    return endpoint.acceptsNewCalls() && !endpoint.hasFreeSlot(false) && !endpoint.health.isSlow();
  }

  private double waitCostMs(RouteRequest request, EndpointState endpoint, double meanSlotMs) {
    return costMs(request, endpoint)
        + (endpoint.waiters() + 1) * meanSlotMs / endpoint.windowSlots();
  }

  private double costMs(RouteRequest request, EndpointState endpoint) {
    double costMs = promptCostMs(uncachedTokens(request, endpoint));
    costMs += endpoints.promptMs(endpoint.health.pendingPromptTokens());
    costMs *= endpoint.health.slowdown();
    costMs += slowdownCostMs(request, endpoint);
    costMs +=
        request.expectedOutputTokens()
            * endpoints.interTokenMs()
            * FULL_BATCH_SLOWDOWN_SHARE
            * endpoint.utilisation();
    if (!endpoint.isInDataCentre(request.dataCentre())) {
      costMs += OTHER_DATA_CENTRE_COST_MS;
    }
    if (!endpoint.hasLoaded(request.model())) {
      costMs += MODEL_LOAD_COST_MS;
    }
    if (request.avoidedEndpoints().contains(endpoint.id)) {
      costMs += AVOIDED_ENDPOINT_COST_MS;
    }
    return costMs;
  }

  private double slowdownCostMs(RouteRequest request, EndpointState endpoint) {
    return request.expectedOutputTokens()
        * endpoints.interTokenMs()
        * (endpoint.health.slowdown() - 1);
  }
}
