package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/** What the rules decide about one record; every reader of the order reaches the same verdict. */
public sealed interface Verdict {

  /** Returns whether the record took effect. */
  default boolean accepted() {
    return this instanceof Accepted;
  }

  /** The record took effect at the offset. */
  record Accepted(long offset) implements Verdict {}

  /** The record has no effect. */
  record Refused(Refusal reason) implements Verdict {}

  /** The same record took effect or was refused earlier in the order. */
  record Duplicate() implements Verdict {}

  /** The team started a program under the same client key before; the caller gets that one. */
  record StartedBefore(ProgramId program) implements Verdict {}

  /** The record is part of a snapshot, which does not change the state of a complete reader. */
  record SnapshotRead() implements Verdict {}
}
