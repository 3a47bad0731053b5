package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;

/**
 * A turn that was answered and cannot join the history. It is reported and never merged.
 *
 * @param program the program
 * @param turn the turn that was held
 * @param kind why it cannot join
 */
public record TurnConflict(ProgramId program, Turn turn, Kind kind) {

  /** Why a turn cannot join the history. */
  public enum Kind {
    /** The history has other content under the same number. */
    DIFFERENT_CONTENT,
    /** An earlier held turn of the program cannot join, and this one builds on it. */
    AFTER_CONFLICT,
    /** The turn is not the next one, or the bounds of the buffer are reached. */
    NO_ROOM,
    /** The program has ended. */
    PROGRAM_ENDED,
    /** The program is not known. */
    PROGRAM_UNKNOWN
  }
}
