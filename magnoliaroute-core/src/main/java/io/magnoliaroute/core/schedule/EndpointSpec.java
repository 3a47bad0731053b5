package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Objects;
import java.util.Set;

/**
 * Description of an endpoint for the group scheduler.
 *
 * @param id the id of the endpoint
 * @param dataCentre the data centre in which it runs
 * @param windowSlots maximum number of concurrent calls
 * @param urgentReservedSlots slots of the window reserved for urgent calls
 * @param loadedModels models ready to serve; empty for a plain service
 * @param draining whether it must not get new calls, because it is shutting down or unreachable
 */
public record EndpointSpec(
    EndpointId id,
    DataCentreId dataCentre,
    int windowSlots,
    int urgentReservedSlots,
    Set<String> loadedModels,
    boolean draining) {

  /**
   * Rejects an empty window and a reservation that leaves no slot for calls that are not urgent.
   */
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

  /** Returns a copy with the given drain state. */
  public EndpointSpec withDraining(boolean nowDraining) {
    return new EndpointSpec(
        id, dataCentre, windowSlots, urgentReservedSlots, loadedModels, nowDraining);
  }

  /** Returns whether the model is loaded; always true for the empty model. */
  public boolean hasLoaded(String model) {
    return model.isEmpty() || loadedModels.contains(model);
  }
}
