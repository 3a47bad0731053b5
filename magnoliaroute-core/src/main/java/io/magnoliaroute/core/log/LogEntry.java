package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;

/** One record of a stream with the offset that it took effect at. */
public record LogEntry(long offset, Bytes payload) {}
