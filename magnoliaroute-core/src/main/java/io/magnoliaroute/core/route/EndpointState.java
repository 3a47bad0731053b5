package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Set;

/** Window and calls in progress of one endpoint. */
final class EndpointState {

  final EndpointId id;
  final EndpointHealth health = new EndpointHealth();

  private DataCentreId dataCentre;
  private int windowSlots;
  private int urgentReservedSlots;
  private Set<String> loadedModels;
  private boolean draining;
  private boolean removed;
  private int urgentOutstanding;
  private int otherOutstanding;
  private int waiters;
  private int cachedTokens;
  private long cachedTokensRequestNumber;

  EndpointState(EndpointId id) {
    this.id = id;
  }

  void configure(
      DataCentreId newDataCentre,
      int newWindowSlots,
      int newUrgentReservedSlots,
      Set<String> newLoadedModels,
      boolean newDraining) {
    dataCentre = newDataCentre;
    windowSlots = newWindowSlots;
    urgentReservedSlots = newUrgentReservedSlots;
    loadedModels = newLoadedModels;
    draining = newDraining;
    removed = false;
  }

  void markRemoved() {
    removed = true;
  }

  boolean isRemoved() {
    return removed;
  }

  boolean acceptsNewCalls() {
    return !draining && !removed;
  }

  int outstanding() {
    return urgentOutstanding + otherOutstanding;
  }

  int windowSlots() {
    return windowSlots;
  }

  int unreservedSlots() {
    return windowSlots - urgentReservedSlots;
  }

  boolean isInDataCentre(DataCentreId other) {
    return dataCentre.equals(other);
  }

  boolean hasLoaded(String model) {
    return model.isEmpty() || loadedModels.contains(model);
  }

  double utilisation() {
    return (double) outstanding() / windowSlots;
  }

  /**
   * Returns whether a slot is free for an urgent call or for another call, regardless of health.
   */
  boolean hasFreeSlot(boolean urgent) {
    if (!acceptsNewCalls() || outstanding() >= windowSlots) {
      return false;
    }
    return urgent || otherOutstanding < unreservedSlots();
  }

  void occupySlot(boolean urgent) {
    if (urgent) {
      urgentOutstanding++;
    } else {
      otherOutstanding++;
    }
  }

  void freeSlot(boolean urgent) {
    if (urgent) {
      urgentOutstanding = Math.max(0, urgentOutstanding - 1);
    } else {
      otherOutstanding = Math.max(0, otherOutstanding - 1);
    }
  }

  /**
   * Stores the number of prompt tokens of a request that the endpoint has cached, so that cost
   * computations need no map look-up.
   */
  void setCachedTokens(int tokens, long requestNumber) {
    cachedTokens = tokens;
    cachedTokensRequestNumber = requestNumber;
  }

  int uncachedTokens(int promptTokens, long requestNumber) {
    return cachedTokensRequestNumber == requestNumber
        ? Math.max(0, promptTokens - cachedTokens)
        : promptTokens;
  }

  /** Adds a call that waits for this endpoint in the current dispatch. */
  void addWaiter() {
    waiters++;
  }

  void clearWaiters() {
    waiters = 0;
  }

  int waiters() {
    return waiters;
  }
}
