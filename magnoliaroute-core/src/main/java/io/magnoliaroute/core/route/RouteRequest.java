package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import java.util.Map;
import java.util.Set;

/**
 * What a call asks of an endpoint.
 *
 * @param dataCentre where the call comes from
 * @param model the model it needs; empty for a plain service
 * @param promptTokens tokens of its prompt
 * @param cachedPrefixTokens prompt tokens expected in the prefix cache of each endpoint
 * @param avoidedEndpoints endpoints to use only where no other can run the call
 * @param expectedOutputTokens tokens that it is expected to generate
 * @param urgent whether it may take reserved slots and must not wait for a better endpoint
 * @param queueWaitMs how long a call of its class waits for any slot now
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
