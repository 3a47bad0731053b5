package io.magnoliaroute.core.log;

import java.util.Objects;

/**
 * Identifies one record. Readers ignore further records with the same id, so appends can be
 * retried.
 *
 * @param writer the VM incarnation that wrote the record
 * @param sequence the position among the records of that writer in one stream, starting at 0
 *     without gaps
 */
public record RecordId(WriterId writer, long sequence) {

  /** Rejects a null writer and a negative sequence. */
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
