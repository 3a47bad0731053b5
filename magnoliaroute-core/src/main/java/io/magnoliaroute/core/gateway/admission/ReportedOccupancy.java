package io.magnoliaroute.core.gateway.admission;

import io.magnoliaroute.core.gateway.EndpointDirectory;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointLoadTracker;

/**
 * Estimates the occupancy of services from the load that endpoints reported to this VM and its own
 * open requests.
 */
public final class ReportedOccupancy implements ServiceOccupancy {

  private final EndpointDirectory directory;
  private final EndpointLoadTracker loads;

  /** Creates an estimate over the given endpoints and reports. */
  public ReportedOccupancy(EndpointDirectory directory, EndpointLoadTracker loads) {
    this.directory = directory;
    this.loads = loads;
  }

  @Override
  public Occupancy occupancy(String service, long nowMs) {
    double running = 0;
    double queued = 0;
    double slots = 0;
    double reports = 0;
    int endpoints = 0;
    for (EndpointEntry endpoint : directory.usableEndpoints(service, nowMs)) {
      if (loads.isUnreachable(endpoint.id())) {
        continue;
      }
      double weight = loads.reportWeight(endpoint.id(), nowMs);
      double requests = loads.requestsByLastReport(endpoint.id());
      double places = Math.max(1, endpoint.slots());
      running += weight * Math.min(requests, places);
      queued += weight * Math.max(0, requests - places);
      slots += weight * places;
      reports += weight;
      endpoints++;
    }
    return new Occupancy(running, queued, slots, reports, endpoints);
  }
}
