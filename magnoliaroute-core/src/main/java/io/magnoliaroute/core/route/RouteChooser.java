package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.EndpointId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Chooses the endpoint of a call by expected cost in milliseconds: the computation of the prompt
 * that is not cached there, the slower pace of a slow or full endpoint, another data centre, a
 * model load, and the wait for a slot where the endpoint is full.
 */
public final class RouteChooser {

  /** Keeps traffic local while local endpoints have room; far below a prompt computation. */
  private static final double OTHER_DATA_CENTRE_MS = 25;

  /** Loading weights takes tens of seconds and uses the rate-limited weight store. */
  private static final double MODEL_LOAD_MS = 30_000;

  /** Part of the time between tokens by which a full batch is slower than an empty one. */
  private static final double FULL_BATCH_PACE_SHARE = 0.2;

  /** A computed prompt delays every stream of the batch, so it costs that many times its time. */
  private static final double PROMPT_COST_FACTOR = 12;

  /** Above every other cost, so that an avoided endpoint is the last choice. */
  private static final double AVOIDED_MS = 600_000;

  private final EndpointBoard board;
  private long lastRequest;

  /** Makes a chooser that reads the board. */
  public RouteChooser(EndpointBoard board) {
    this.board = Objects.requireNonNull(board, "board");
  }

  /**
   * Returns the cheapest endpoint, or empty where no endpoint has a slot for the call.
   *
   * @param slotMs the usual time for which a call holds a slot
   */
  public Optional<Placement> choose(RouteRequest request, double slotMs, long nowMs) {
    noteCached(request);
    EndpointLoad free = cheapestFree(request, null, nowMs);
    if (request.urgent()) {
      return placement(request, free, false);
    }
    double freeCostMs = free == null ? Double.MAX_VALUE : costMs(request, free);
    EndpointLoad full = cheapestFull(request, slotMs, freeCostMs);
    if (full != null) {
      full.addWaiter();
      return placement(request, full, true);
    }
    return placement(request, free, false);
  }

  /** Returns the cheapest endpoint with a free slot besides the one given, for a second attempt. */
  public Optional<Placement> chooseOther(RouteRequest request, EndpointId avoided, long nowMs) {
    noteCached(request);
    return placement(request, cheapestFree(request, avoided, nowMs), false);
  }

  /** Forgets which calls decided to wait; called at the start of each dispatch. */
  public void startDispatch() {
    for (EndpointLoad load : board.loads()) {
      load.clearWaiters();
    }
  }

  /** Returns the cost of computing prompt tokens, for the call and for the rest of the batch. */
  public double promptCostMs(long tokens) {
    return PROMPT_COST_FACTOR * board.promptMs(tokens);
  }

  private void noteCached(RouteRequest request) {
    lastRequest++;
    for (Map.Entry<EndpointId, Integer> cached : request.cachedPrefixTokens().entrySet()) {
      EndpointLoad load = board.load(cached.getKey());
      if (load != null) {
        load.noteCached(cached.getValue(), lastRequest);
      }
    }
  }

  private int uncachedTokens(RouteRequest request, EndpointLoad load) {
    return load.uncachedTokens(request.promptTokens(), lastRequest);
  }

  private Optional<Placement> placement(RouteRequest request, EndpointLoad load, boolean waits) {
    if (load == null) {
      return Optional.empty();
    }
    return Optional.of(
        new Placement(
            load.id, waits, uncachedTokens(request, load), !load.hasLoaded(request.model())));
  }

  private EndpointLoad cheapestFree(RouteRequest request, EndpointId avoided, long nowMs) {
    EndpointLoad best = null;
    double bestCostMs = Double.MAX_VALUE;
    for (EndpointLoad load : board.loads()) {
      if (!load.hasFreeSlot(request.urgent()) || load.id.equals(avoided)) {
        continue;
      }
      if (load.health.isSlow() && isProbeDue(request, load, nowMs)) {
        return load;
      }
      double costMs = costMs(request, load);
      if (costMs < bestCostMs && !isShiftedAway(request, load)) {
        best = load;
        bestCostMs = costMs;
      }
    }
    return best;
  }

  /** A slow endpoint is used only where its slower service costs less than the wait for others. */
  private boolean isShiftedAway(RouteRequest request, EndpointLoad load) {
    return load.health.isSlow() && slowServiceMs(request, load) > request.queueWaitMs();
  }

  private boolean isProbeDue(RouteRequest request, EndpointLoad load, long nowMs) {
    return !request.urgent()
        && !request.avoidedEndpoints().contains(load.id)
        && load.outstanding() == 0
        && load.health.isProbeDue(nowMs);
  }

  private EndpointLoad cheapestFull(RouteRequest request, double slotMs, double belowMs) {
    EndpointLoad best = null;
    double bestCostMs = belowMs;
    // The order of the key set differs between runs, so equal costs are decided by id.
    for (EndpointId id : request.cachedPrefixTokens().keySet()) {
      EndpointLoad load = board.load(id);
      if (load == null || !isFullAndWell(load)) {
        continue;
      }
      double costMs = waitCostMs(request, load, slotMs);
      boolean tieWon = costMs == bestCostMs && best != null && id.compareTo(best.id) < 0;
      if (costMs < bestCostMs || tieWon) {
        best = load;
        bestCostMs = costMs;
      }
    }
    // Endpoints without a cached prefix cost at least the whole prompt.
    if (promptCostMs(request.promptTokens()) >= bestCostMs) {
      return best;
    }
    for (EndpointLoad load : board.loads()) {
      if (!isFullAndWell(load)) {
        continue;
      }
      double costMs = waitCostMs(request, load, slotMs);
      if (costMs < bestCostMs) {
        best = load;
        bestCostMs = costMs;
      }
    }
    return best;
  }

  private static boolean isFullAndWell(EndpointLoad load) {
    return load.takesNewWork() && !load.hasFreeSlot(false) && !load.health.isSlow();
  }

  private double waitCostMs(RouteRequest request, EndpointLoad load, double slotMs) {
    return costMs(request, load) + (load.waiters() + 1) * slotMs / load.windowSlots();
  }

  private double costMs(RouteRequest request, EndpointLoad load) {
    double costMs = promptCostMs(uncachedTokens(request, load));
    costMs += board.promptMs(load.health.pendingPromptTokens());
    costMs *= load.health.slowness();
    costMs += slowServiceMs(request, load);
    costMs +=
        request.expectedOutputTokens()
            * board.paceMs()
            * FULL_BATCH_PACE_SHARE
            * load.utilisation();
    if (!load.isIn(request.dataCentre())) {
      costMs += OTHER_DATA_CENTRE_MS;
    }
    if (!load.hasLoaded(request.model())) {
      costMs += MODEL_LOAD_MS;
    }
    if (request.avoidedEndpoints().contains(load.id)) {
      costMs += AVOIDED_MS;
    }
    return costMs;
  }

  private double slowServiceMs(RouteRequest request, EndpointLoad load) {
    return request.expectedOutputTokens() * board.paceMs() * (load.health.slowness() - 1);
  }
}
