package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Objects;
import java.util.Set;

/**
 * What a group scheduler needs to know of an endpoint.
 *
 * @param id the endpoint
 * @param dataCentre where it runs
 * @param windowSlots calls admitted at the same time
 * @param urgentReservedSlots slots of the window that only urgent calls may take
 * @param loadedModels models ready to serve; empty for a plain service
 * @param draining whether it must get no new work, because it leaves or cannot be reached
 */
public record EndpointSpec(
    EndpointId id,
    DataCentreId dataCentre,
    int windowSlots,
    int urgentReservedSlots,
    Set<String> loadedModels,
    boolean draining) {

  /** Rejects an empty window and a reservation that leaves no slot for other work. */
  public EndpointSpec {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(dataCentre, "dataCentre");
    if (windowSlots < 1) {
      throw new IllegalArgumentException("windowSlots must be positive, was " + windowSlots);
    }
    if (urgentReservedSlots < 0 || urgentReservedSlots >= windowSlots) {
      throw new IllegalArgumentException(
          "urgentReservedSlots must be in [0, " + windowSlots + "), was " + urgentReservedSlots);
    }
    loadedModels = Set.copyOf(loadedModels);
  }

  /** Returns the same endpoint with the drain state changed. */
  public EndpointSpec withDraining(boolean nowDraining) {
    return new EndpointSpec(
        id, dataCentre, windowSlots, urgentReservedSlots, loadedModels, nowDraining);
  }

  /** Returns whether a call for the model needs no load order; the empty model needs none. */
  public boolean hasLoaded(String model) {
    return model.isEmpty() || loadedModels.contains(model);
  }
}
