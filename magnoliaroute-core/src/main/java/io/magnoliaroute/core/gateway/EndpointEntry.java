package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;

/**
 * An endpoint's registration in the platform's endpoint list.
 *
 * @param id the id of the endpoint; in most cases unique for each start
 * @param service the service that the endpoint belongs to
 * @param address the address that the endpoint listens on
 * @param dataCentre the data centre that the endpoint runs in
 * @param slots number of requests that the endpoint runs concurrently
 * @param draining whether the endpoint is draining
 * @param startedAtMs Unix time of the start; distinguishes two starts with the same id
 * @param sequence increases with each entry of one start
 * @param softwareVersion the version of the endpoint's software; streams of two versions do not fit
 *     together
 */
public record EndpointEntry(
    EndpointId id,
    String service,
    HostPort address,
    String dataCentre,
    int slots,
    boolean draining,
    long startedAtMs,
    long sequence,
    String softwareVersion) {

  /** Returns whether this entry was written after the other one. */
  public boolean isNewerThan(EndpointEntry other) {
    if (startedAtMs != other.startedAtMs) {
      return startedAtMs > other.startedAtMs;
    }
    return sequence > other.sequence;
  }

  /** Returns whether both entries come from the same start of an endpoint. */
  public boolean isSameStart(EndpointEntry other) {
    return id.equals(other.id) && startedAtMs == other.startedAtMs;
  }
}
