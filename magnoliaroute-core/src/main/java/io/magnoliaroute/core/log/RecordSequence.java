package io.magnoliaroute.core.log;

import java.util.Objects;

/**
 * Gives out the record ids of one writer in one stream.
 *
 * <p>Not safe for use by several threads.
 */
public final class RecordSequence {

  private final WriterId writer;
  private long next;

  /** Starts at sequence 0 of the given writer. */
  public RecordSequence(WriterId writer) {
    this.writer = Objects.requireNonNull(writer, "writer");
  }

  /** Returns the next id. */
  public RecordId next() {
    RecordId id = new RecordId(writer, next);
    next++;
    return id;
  }

  /** Returns the writer that the ids belong to. */
  public WriterId writer() {
    return writer;
  }
}
