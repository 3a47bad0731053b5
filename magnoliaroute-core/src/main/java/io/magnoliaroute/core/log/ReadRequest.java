package io.magnoliaroute.core.log;

/**
 * A read that a {@link LogFollower} asks for.
 *
 * @param stream the stream
 * @param fromOffset the first offset wanted
 * @param maxRecords the most records wanted
 */
public record ReadRequest(String stream, long fromOffset, int maxRecords) {}
