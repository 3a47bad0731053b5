package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.Objects;

/**
 * One record of a stream.
 *
 * @param id the id, which makes repeated appends idempotent
 * @param kind the number that identifies the record type within its stream, never negative
 * @param body the content, encoded as defined by the record type
 */
public record LogRecord(RecordId id, int kind, Bytes body) {

  /** Rejects null components and a negative kind. */
  public LogRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(body, "body");
    if (kind < 0) {
      throw new IllegalArgumentException("kind must not be negative, was " + kind);
    }
  }
}
