package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.List;
import java.util.Optional;

/** One entry of a snapshot. */
public sealed interface SnapshotEntry {

  /** Returns the offset of the newest record that the entry reflects. */
  long offset();

  /**
   * The current claim.
   *
   * @param appliedRanges the applied record ids of the claim's writer, as inclusive ranges of
   *     sequence numbers in the form first, last, first, last
   */
  record ClaimEntry(long offset, WriterId owner, long epoch, List<Long> appliedRanges)
      implements SnapshotEntry {

    /** Copies the ranges. */
    public ClaimEntry {
      appliedRanges = List.copyOf(appliedRanges);
    }
  }

  /**
   * A program without its turns.
   *
   * @param start the record that started the program
   * @param end the end of the program, empty while it is live
   * @param turns the number of turns, each of which has its own entry
   */
  record ProgramEntry(
      long offset, ProgramRecord.ProgramStarted start, Optional<ProgramEnd> end, int turns)
      implements SnapshotEntry {}

  /** One turn of a program. */
  record TurnEntry(long offset, ProgramId program, Turn turn) implements SnapshotEntry {}

  /**
   * The intent that holds an action key, with its outcome.
   *
   * @param intentOffset the offset of the intent, which is the fencing token of the action
   * @param outcome the outcome, empty while it is unknown
   */
  record ActionEntry(
      long offset,
      long intentOffset,
      ProgramRecord.ActionIntent intent,
      Optional<ProgramRecord.ActionOutcome> outcome)
      implements SnapshotEntry {}
}
