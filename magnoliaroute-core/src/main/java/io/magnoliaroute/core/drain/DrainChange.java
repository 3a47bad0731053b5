package io.magnoliaroute.core.drain;

import io.magnoliaroute.core.model.EndpointId;

/**
 * A change that stops or allows new grants for an endpoint. Running calls are not interrupted.
 *
 * @param endpoint the endpoint
 * @param draining whether the endpoint must not receive new work
 */
public record DrainChange(EndpointId endpoint, boolean draining) {}
