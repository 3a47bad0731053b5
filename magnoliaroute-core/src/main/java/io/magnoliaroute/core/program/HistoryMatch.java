package io.magnoliaroute.core.program;

import java.util.Optional;

/** The result of comparing a turn with the history of its program. */
enum HistoryMatch {
  /** The history does not contain the turn yet. */
  OPEN(false, null),
  /** The history contains the turn. */
  PRESENT(true, null),
  DIFFERENT_CONTENT(true, TurnConflict.Kind.DIFFERENT_CONTENT),
  AFTER_CONFLICT(true, TurnConflict.Kind.AFTER_CONFLICT),
  NO_ROOM(true, TurnConflict.Kind.NO_ROOM),
  PROGRAM_ENDED(true, TurnConflict.Kind.PROGRAM_ENDED),
  PROGRAM_UNKNOWN(true, TurnConflict.Kind.PROGRAM_UNKNOWN);

  private final boolean isResolved;
  private final TurnConflict.Kind conflict;

  HistoryMatch(boolean isResolved, TurnConflict.Kind conflict) {
    this.isResolved = isResolved;
    this.conflict = conflict;
  }

  /** Returns whether the turn can be removed from the buffer. */
  boolean isResolved() {
    return isResolved;
  }

  Optional<TurnConflict.Kind> conflict() {
    return Optional.ofNullable(conflict);
  }

  static HistoryMatch of(Optional<ProgramView> program, Turn turn) {
    if (program.isEmpty()) {
      return PROGRAM_UNKNOWN;
    }
    ProgramView view = program.get();
    if (turn.number() < view.nextTurnNumber()) {
      return sameContent(view.turns().get(turn.number()), turn) ? PRESENT : DIFFERENT_CONTENT;
    }
    return view.isLive() ? OPEN : PROGRAM_ENDED;
  }

  static boolean sameContent(Turn first, Turn second) {
    return first.request().equals(second.request()) && first.answer().equals(second.answer());
  }
}
