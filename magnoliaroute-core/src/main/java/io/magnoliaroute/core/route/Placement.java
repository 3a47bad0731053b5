package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.EndpointId;

/**
 * Result of choosing an endpoint for a call.
 *
 * @param endpoint the chosen endpoint
 * @param waitForSlot whether the endpoint is full and waiting for it costs less than using another
 *     endpoint
 * @param uncachedTokens prompt tokens that the endpoint must compute
 * @param modelLoadNeeded whether the endpoint must load the model first
 */
public record Placement(
    EndpointId endpoint, boolean waitForSlot, int uncachedTokens, boolean modelLoadNeeded) {}
