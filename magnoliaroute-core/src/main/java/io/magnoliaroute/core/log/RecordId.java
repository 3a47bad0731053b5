package io.magnoliaroute.core.log;

import java.util.Objects;

/**
 * Identifies one record. Appending a record again under the same id has no further effect.
 *
 * @param writer the run of the VM that wrote the record
 * @param sequence the position among the records of that writer in one stream, from 0 without gaps
 */
public record RecordId(WriterId writer, long sequence) {

  /** Rejects a missing writer and a negative sequence. */
  public RecordId {
    Objects.requireNonNull(writer, "writer");
    if (sequence < 0) {
      throw new IllegalArgumentException("sequence must not be negative, was " + sequence);
    }
  }

  @Override
  public String toString() {
    return writer + "/" + sequence;
  }
}
