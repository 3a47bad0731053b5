package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.Bytes;

/**
 * The response of a plain service.
 *
 * @param status the HTTP status code
 * @param body the response body
 */
public record ServiceResponse(int status, Bytes body) {}
