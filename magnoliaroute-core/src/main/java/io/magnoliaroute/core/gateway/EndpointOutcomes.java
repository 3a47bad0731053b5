package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;

/**
 * Decayed counts of the outcomes of recent requests at an endpoint.
 *
 * @param endpoint the endpoint
 * @param answered weight of the answered requests
 * @param failed weight of the requests that failed, were aborted by the endpoint or got no response
 */
public record EndpointOutcomes(EndpointId endpoint, double answered, double failed) {

  /** Returns the sum of both outcomes. */
  EndpointOutcomes plus(EndpointOutcomes other) {
    return new EndpointOutcomes(endpoint, answered + other.answered, failed + other.failed);
  }
}
