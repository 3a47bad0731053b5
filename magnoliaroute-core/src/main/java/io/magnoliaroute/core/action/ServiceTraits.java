package io.magnoliaroute.core.action;

/**
 * What a service offers, from the settings of its pool.
 *
 * @param checksFencingToken whether it refuses a request with a token below one that it has seen
 * @param statusQuery whether it can be asked if a key has run
 */
public record ServiceTraits(boolean checksFencingToken, boolean statusQuery) {}
