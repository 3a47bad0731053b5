package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Set;

/** The window of one endpoint and the calls admitted to it. */
final class EndpointLoad {

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
  private int expectedWaiters;
  private int cachedTokens;
  private long cachedForRequest;

  EndpointLoad(EndpointId id) {
    this.id = id;
  }

  void configure(
      DataCentreId newDataCentre,
      int newWindowSlots,
      int newUrgentReservedSlots,
      Set<String> newLoadedModels,
      boolean nowDraining) {
    dataCentre = newDataCentre;
    windowSlots = newWindowSlots;
    urgentReservedSlots = newUrgentReservedSlots;
    loadedModels = newLoadedModels;
    draining = nowDraining;
    removed = false;
  }

  void markRemoved() {
    removed = true;
  }

  boolean isRemoved() {
    return removed;
  }

  boolean takesNewWork() {
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

  boolean isIn(DataCentreId other) {
    return dataCentre.equals(other);
  }

  boolean hasLoaded(String model) {
    return model.isEmpty() || loadedModels.contains(model);
  }

  double utilisation() {
    return (double) outstanding() / windowSlots;
  }

  /** Returns whether a slot is free that a call of this kind may take, whatever the health. */
  boolean hasFreeSlot(boolean urgent) {
    if (!takesNewWork() || outstanding() >= windowSlots) {
      return false;
    }
    return urgent || otherOutstanding < unreservedSlots();
  }

  void occupy(boolean urgent) {
    if (urgent) {
      urgentOutstanding++;
    } else {
      otherOutstanding++;
    }
  }

  void vacate(boolean urgent) {
    if (urgent) {
      urgentOutstanding = Math.max(0, urgentOutstanding - 1);
    } else {
      otherOutstanding = Math.max(0, otherOutstanding - 1);
    }
  }

  /** Notes what the endpoint has cached of one request's prompt, so that costs need no look-up. */
  void noteCached(int tokens, long request) {
    cachedTokens = tokens;
    cachedForRequest = request;
  }

  int uncachedTokens(int promptTokens, long request) {
    return cachedForRequest == request ? Math.max(0, promptTokens - cachedTokens) : promptTokens;
  }

  /** Counts calls that decided, in the present dispatch, to wait for this endpoint. */
  void addWaiter() {
    expectedWaiters++;
  }

  void clearWaiters() {
    expectedWaiters = 0;
  }

  int waiters() {
    return expectedWaiters;
  }
}
