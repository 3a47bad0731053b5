package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.Objects;

/**
 * One record as it is appended to a stream.
 *
 * @param id the id that makes a repeated append harmless
 * @param kind the number of the record type within its stream, never negative
 * @param body the content, in the form of the record type
 */
public record LogRecord(RecordId id, int kind, Bytes body) {

  /** Rejects missing parts and a negative kind. */
  public LogRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(body, "body");
    if (kind < 0) {
      throw new IllegalArgumentException("kind must not be negative, was " + kind);
    }
  }
}
