package io.magnoliaroute.core.route;

import io.magnoliaroute.core.model.EndpointId;

/**
 * The endpoint chosen for a call.
 *
 * @param endpoint the endpoint
 * @param waits whether the endpoint is full and waiting for it costs less than another endpoint
 * @param uncachedTokens prompt tokens that must be computed there
 * @param modelLoadNeeded whether the endpoint must load the model first
 */
public record Placement(
    EndpointId endpoint, boolean waits, int uncachedTokens, boolean modelLoadNeeded) {}
