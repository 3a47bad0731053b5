package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;

/**
 * What an endpoint says of itself in the platform's list.
 *
 * @param id identifies one start of the endpoint, in most cases
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre where it stands
 * @param slots requests that it runs at once
 * @param draining whether it is leaving
 * @param startedAtMs Unix time of its start; tells two starts under one id apart
 * @param sequence grows with each entry of one start
 */
public record EndpointEntry(
    EndpointId id,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean draining,
    long startedAtMs,
    long sequence) {

  /** Returns whether this was written after the other one. */
  public boolean isNewerThan(EndpointEntry other) {
    if (startedAtMs != other.startedAtMs) {
      return startedAtMs > other.startedAtMs;
    }
    return sequence > other.sequence;
  }

  /** Returns whether both come from the same start of an endpoint. */
  public boolean isSameStart(EndpointEntry other) {
    return id.equals(other.id) && startedAtMs == other.startedAtMs;
  }
}
