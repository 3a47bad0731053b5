package io.magnoliaroute.core.config;

/**
 * Asks a peer for the branches newer than a version.
 *
 * @param newerThanVersion the version up to which the asking VM has every branch
 */
public record ConfigPull(long newerThanVersion) {}
