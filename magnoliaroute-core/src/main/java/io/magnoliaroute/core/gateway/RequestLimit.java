package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;

/**
 * The request rate that an endpoint accepts from all VMs together.
 *
 * @param endpoint the id of the endpoint
 * @param startedAtMs Unix time of the endpoint's start that the limit applies to
 * @param requestsPerS the accepted requests per second
 */
public record RequestLimit(EndpointId endpoint, long startedAtMs, double requestsPerS) {

  /** Rejects a rate that is not a non-negative number. */
  public RequestLimit {
    if (!(requestsPerS >= 0) || Double.isInfinite(requestsPerS)) {
      throw new IllegalArgumentException("limit of " + endpoint + " must not be " + requestsPerS);
    }
  }

  /** Returns whether the limit applies to the start of the endpoint that wrote the entry. */
  public boolean appliesTo(EndpointEntry entry) {
    return entry.id().equals(endpoint) && entry.startedAtMs() == startedAtMs;
  }
}
