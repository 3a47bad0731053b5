package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/** The result of applying one record. Every reader of the stream reaches the same verdict. */
public sealed interface Verdict {

  /** Returns whether the record took effect. */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }

  /** The record took effect at the given offset. */
  record Accepted(long offset) implements Verdict {}

  /** The record was refused and has no effect. */
  record Refused(RecordRefusal reason) implements Verdict {}

  /**
   * The record has no effect: a record with the same id was applied or refused before, the record
   * is an intent that was abandoned before it was appended, or its offset was already processed.
   */
  record Duplicate() implements Verdict {}

  /** The team already started a program with the same client key; the caller receives that one. */
  record AlreadyStarted(ProgramId program) implements Verdict {}

  /** The record is part of a snapshot and does not change a state that is already complete. */
  record SnapshotRead() implements Verdict {}
}
