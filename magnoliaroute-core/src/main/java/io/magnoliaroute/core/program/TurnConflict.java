package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/**
 * A completed turn that cannot be added to the history. It is reported and never merged.
 *
 * @param program the program
 * @param turn the buffered or offered turn
 * @param kind the kind of conflict
 */
public record TurnConflict(ProgramId program, Turn turn, Kind kind) {

  /** The kind of conflict. */
  public enum Kind {
    /** The history or the buffer has different content under the same turn number. */
    DIFFERENT_CONTENT,
    /** The turn is based on an earlier turn of the program that has a conflict. */
    AFTER_CONFLICT,
    /** The turn is not the next one, or the buffer has reached a limit. */
    NO_ROOM,
    /** The program has ended. */
    PROGRAM_ENDED,
    /** The partition has no such program. */
    PROGRAM_UNKNOWN
  }
}
