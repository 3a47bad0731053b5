package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Map;
import java.util.Set;

/**
 * Requirements of a call on an endpoint.
 *
 * @param dataCentre the data centre from which the call is made
 * @param model the model that the call needs; empty for a plain service
 * @param promptTokens tokens of the prompt
 * @param cachedPrefixTokens prompt tokens expected in the prefix cache of each endpoint
 * @param avoidedEndpoints endpoints to use only if no other endpoint can run the call
 * @param expectedOutputTokens tokens that the call is expected to generate
 * @param urgent whether the call may use reserved slots and must not wait for a cheaper endpoint
 * @param queueWaitMs the expected time that a call of the same class waits for any slot
 */
public record RouteRequest(
    DataCentreId dataCentre,
    String model,
    int promptTokens,
    Map<EndpointId, Integer> cachedPrefixTokens,
    Set<EndpointId> avoidedEndpoints,
    double expectedOutputTokens,
    boolean urgent,
    double queueWaitMs) {}
