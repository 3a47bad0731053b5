package io.magnoliaroute.core.drain;

import io.magnoliaroute.core.model.EndpointId;

/**
 * An effect: stop or allow new grants for the endpoint. Calls that run are left to finish.
 *
 * @param endpoint the endpoint
 * @param draining whether it must get no new work
 */
public record DrainChange(EndpointId endpoint, boolean draining) {}
