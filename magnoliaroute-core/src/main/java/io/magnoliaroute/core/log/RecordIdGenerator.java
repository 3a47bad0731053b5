package io.magnoliaroute.core.log;

import java.util.Objects;

/**
 * Generates the record ids of one writer in one stream.
 *
 * <p>Not thread-safe.
 */
public final class RecordIdGenerator {

  private final WriterId writer;
  private long next;

  /** Creates a generator that starts at sequence 0 of the given writer. */
  public RecordIdGenerator(WriterId writer) {
    this.writer = Objects.requireNonNull(writer, "writer");
  }

  /** Returns the next id. */
  public RecordId next() {
    RecordId id = new RecordId(writer, next);
    next++;
    return id;
  }

  /** Returns the writer of the generated ids. */
  public WriterId writer() {
    return writer;
  }
}
