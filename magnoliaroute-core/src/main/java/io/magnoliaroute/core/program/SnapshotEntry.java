package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.List;
import java.util.Optional;

/** One entry of a snapshot, with the offset at which the newest part of it took effect. */
public sealed interface SnapshotEntry {

  /** Returns the offset at which the newest part of the entry took effect. */
  long offset();

  /**
   * The claim in force.
   *
   * @param seen the record ids of the claim's writer that were applied, as closed ranges of
   *     sequences: first, last, first, last and so on
   */
  record ClaimEntry(long offset, WriterId owner, long epoch, List<Long> seen)
      implements SnapshotEntry {

    /** Copies the ranges. */
    public ClaimEntry {
      seen = List.copyOf(seen);
    }
  }

  /**
   * A program without its turns.
   *
   * @param start the record that started it
   * @param end how it ended, when it has
   * @param turns the number of turns, each in an entry of its own
   */
  record ProgramEntry(
      long offset, ProgramRecord.ProgramStarted start, Optional<ProgramEnd> end, int turns)
      implements SnapshotEntry {}

  /** One turn of a program. */
  record TurnEntry(long offset, ProgramId program, Turn turn) implements SnapshotEntry {}

  /**
   * The use of one action key.
   *
   * @param intentOffset the offset of the intent, which is its fencing token
   * @param outcome the outcome, when it is known
   */
  record ActionEntry(
      long offset,
      long intentOffset,
      ProgramRecord.ActionIntent intent,
      Optional<ProgramRecord.ActionOutcome> outcome)
      implements SnapshotEntry {}
}
