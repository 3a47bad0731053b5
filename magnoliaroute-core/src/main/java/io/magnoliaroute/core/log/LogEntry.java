package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;

/** One encoded record of a stream with its offset. */
public record LogEntry(long offset, Bytes payload) {}
