package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;

/**
 * Decayed counts of the outcomes of recent requests at an endpoint.
 *
 * @param endpoint the endpoint
 * @param answered weight of the answered requests
 * @param failed weight of the requests that failed, broke off or got no answer
 */
public record Outcomes(EndpointId endpoint, double answered, double failed) {

  /** Returns the sum of both outcomes. */
  Outcomes plus(Outcomes other) {
    return new Outcomes(endpoint, answered + other.answered, failed + other.failed);
  }
}
