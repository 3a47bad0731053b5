package io.magnoliaroute.core.config;

/**
 * A request to a peer for the branches newer than a version.
 *
 * @param newerThanVersion the version up to which the requesting VM has every branch
 */
public record ConfigPull(long newerThanVersion) {}
