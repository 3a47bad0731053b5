package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The endpoints of one group: windows, admitted calls and health. The group scheduler writes what
 * it admits and observes; {@link RouteChooser} reads. It is used under the lock of its scheduler.
 */
public final class EndpointBoard {

  private final Map<EndpointId, EndpointLoad> loads = new LinkedHashMap<>();
  private final GroupHealth health = new GroupHealth();
  private double slotsAtLastJudgement;

  /** Adds an endpoint or changes it; calls admitted to it before stay counted. */
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

  /** Removes an endpoint. While calls admitted to it run, they stay counted. */
  public void remove(EndpointId id) {
    EndpointLoad load = loads.get(id);
    if (load == null) {
      return;
    }
    load.markRemoved();
    dropIfUnused(load);
  }

  /** Returns whether any endpoint may take new work now or later. */
  public boolean hasUsableEndpoint() {
    for (EndpointLoad load : loads.values()) {
      if (load.takesNewWork()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a call of this kind could be placed now, whatever the health of endpoints. */
  public boolean hasFreeSlot(boolean urgent) {
    for (EndpointLoad load : loads.values()) {
      if (load.hasFreeSlot(urgent)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Counts a call that was sent to the endpoint.
   *
   * @return the prompt tokens that the endpoint computes before the first token of the call, its
   *     own included
   */
  public long occupy(EndpointId id, boolean urgent, int uncachedTokens, long nowMs) {
    EndpointLoad load = loads.get(id);
    if (load == null) {
      return uncachedTokens;
    }
    if (load.outstanding() == 0) {
      load.health.startWork(nowMs);
      if (load.health.isSlow()) {
        load.health.startProbe(nowMs);
      }
    }
    load.occupy(urgent);
    load.health.addPendingPrompt(uncachedTokens);
    return load.health.pendingPromptTokens();
  }

  /** Counts the end of a call; {@code pendingTokens} are prompt tokens without a first token. */
  public void vacate(EndpointId id, boolean urgent, int pendingTokens) {
    EndpointLoad load = loads.get(id);
    if (load == null) {
      return;
    }
    load.vacate(urgent);
    load.health.addPendingPrompt(-pendingTokens);
    dropIfUnused(load);
  }

  /**
   * Takes in a first token.
   *
   * @param uncachedTokens prompt tokens of the call that were expected to be computed
   * @param promptTokensAhead what {@link #occupy} returned for the call
   */
  public void sawFirstToken(
      EndpointId id,
      long timeToFirstTokenMs,
      int uncachedTokens,
      long promptTokensAhead,
      long nowMs) {
    EndpointLoad load = loads.get(id);
    if (load == null) {
      return;
    }
    load.health.addPendingPrompt(-uncachedTokens);
    double ratio = health.firstTokenRatio(timeToFirstTokenMs, promptTokensAhead);
    load.health.sawFirstToken(ratio, nowMs);
    if (!load.health.isSlow()) {
      health.learnPrompt(timeToFirstTokenMs, promptTokensAhead);
    }
  }

  /** Takes in tokens that arrived over a span of time. */
  public void sawTokens(EndpointId id, int tokens, long spanMs, long nowMs) {
    EndpointLoad load = loads.get(id);
    if (load == null || tokens < 1 || spanMs < 0) {
      return;
    }
    load.health.sawTokens(tokens, spanMs, nowMs);
  }

  /** Takes in a call that the endpoint finished, with tokens or without. */
  public void sawCompletion(EndpointId id, long nowMs) {
    EndpointLoad load = loads.get(id);
    if (load != null) {
      load.health.sawProgress(nowMs);
    }
  }

  /** Takes in a call that the endpoint failed. */
  public void sawFailure(EndpointId id) {
    EndpointLoad load = loads.get(id);
    if (load != null) {
      load.health.sawFailure();
    }
  }

  /** Judges the health of all endpoints where a tenth of a second has passed. */
  public void judge(long nowMs) {
    if (health.judgeIfDue(loads.values(), nowMs)) {
      slotsAtLastJudgement = effectiveSlots();
    }
  }

  /** Returns the effective slots when health was last judged. */
  public double slotsAtLastJudgement() {
    return slotsAtLastJudgement;
  }

  /** Returns whether new work is shifted away from the endpoint. */
  public boolean isSlow(EndpointId id) {
    EndpointLoad load = loads.get(id);
    return load != null && load.health.isSlow();
  }

  /** Returns how many times slower than the group the endpoint is; 1 where it is not known. */
  public double slowness(EndpointId id) {
    EndpointLoad load = loads.get(id);
    return load == null ? 1 : load.health.slowness();
  }

  /** Returns the calls admitted to the endpoint. */
  public int outstanding(EndpointId id) {
    EndpointLoad load = loads.get(id);
    return load == null ? 0 : load.outstanding();
  }

  /** Returns the part of the slots of usable endpoints that is in use. */
  public double utilisation() {
    int used = 0;
    int slots = 0;
    for (EndpointLoad load : loads.values()) {
      if (load.takesNewWork()) {
        used += load.outstanding();
        slots += load.windowSlots();
      }
    }
    return slots == 0 ? 1 : (double) used / slots;
  }

  /** Returns the unreserved slots of usable endpoints, a slow endpoint's counted for less. */
  public double effectiveSlots() {
    double slots = 0;
    for (EndpointLoad load : loads.values()) {
      if (load.takesNewWork()) {
        slots += load.unreservedSlots() / load.health.slowness();
      }
    }
    return slots;
  }

  /** Returns the usual time between tokens. */
  public double paceMs() {
    return health.paceMs();
  }

  /** Returns the usual time to compute prompt tokens. */
  public double promptMs(long tokens) {
    return health.promptMs(tokens);
  }

  /** Returns the usable endpoint with the fewest admitted calls; windows do not count. */
  public Optional<EndpointId> leastOutstanding() {
    EndpointLoad best = null;
    for (EndpointLoad load : loads.values()) {
      boolean better = best == null || load.outstanding() < best.outstanding();
      if (load.takesNewWork() && better) {
        best = load;
      }
    }
    return Optional.ofNullable(best).map(load -> load.id);
  }

  /** Returns the usable endpoint at the given turn; windows do not count. */
  public Optional<EndpointId> inTurn(long turn) {
    long usable = loads.values().stream().filter(EndpointLoad::takesNewWork).count();
    if (usable == 0) {
      return Optional.empty();
    }
    return loads.values().stream()
        .filter(EndpointLoad::takesNewWork)
        .skip(Math.floorMod(turn, usable))
        .findFirst()
        .map(load -> load.id);
  }

  Iterable<EndpointLoad> loads() {
    return loads.values();
  }

  EndpointLoad load(EndpointId id) {
    return loads.get(id);
  }

  private void dropIfUnused(EndpointLoad load) {
    if (load.isRemoved() && load.outstanding() == 0) {
      loads.remove(load.id);
    }
  }
}
