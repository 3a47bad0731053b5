package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.Bytes;

/**
 * The answer of a plain service.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record ServiceAnswer(int status, Bytes body) {}
