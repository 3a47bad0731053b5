package io.magnoliaroute.core.action;

/**
 * The capabilities of a service, as configured in the settings of its pool.
 *
 * @param checksFencingToken whether the service rejects a request whose fencing token is lower than
 *     one that it has already received
 * @param supportsStatusQuery whether the service can be queried for whether a key has been executed
 */
public record ServiceCapabilities(boolean checksFencingToken, boolean supportsStatusQuery) {}
