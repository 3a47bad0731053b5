package io.magnoliaroute.core.log;

/**
 * A read requested by a {@link LogFollower}.
 *
 * @param stream the stream
 * @param fromOffset the first offset to read
 * @param maxRecords the maximum number of records to return
 */
public record ReadRequest(String stream, long fromOffset, int maxRecords) {}
