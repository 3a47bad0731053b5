package io.magnoliaroute.core.program;

import java.util.Optional;

/** The result of comparing a turn with the history of its program. */
enum TurnFit {
  /** The history does not contain the turn yet. */
  OPEN(false, null),
  /** The history contains the turn. */
  PRESENT(true, null),
  DIFFERENT_CONTENT(true, TurnConflict.Kind.DIFFERENT_CONTENT),
  AFTER_CONFLICT(true, TurnConflict.Kind.AFTER_CONFLICT),
  NO_ROOM(true, TurnConflict.Kind.NO_ROOM),
  PROGRAM_ENDED(true, TurnConflict.Kind.PROGRAM_ENDED),
  PROGRAM_UNKNOWN(true, TurnConflict.Kind.PROGRAM_UNKNOWN);

  private final boolean done;
  private final TurnConflict.Kind conflict;

  TurnFit(boolean done, TurnConflict.Kind conflict) {
    this.done = done;
    this.conflict = conflict;
  }

  /** Returns whether the turn can be removed from the buffer. */
  boolean done() {
    return done;
  }

  Optional<TurnConflict.Kind> conflict() {
    return Optional.ofNullable(conflict);
  }

  static TurnFit of(Optional<ProgramView> program, Turn turn) {
    if (program.isEmpty()) {
      return PROGRAM_UNKNOWN;
    }
    ProgramView view = program.get();
    if (turn.number() < view.nextTurn()) {
      return sameContent(view.turns().get(turn.number()), turn) ? PRESENT : DIFFERENT_CONTENT;
    }
    return view.live() ? OPEN : PROGRAM_ENDED;
  }

  static boolean sameContent(Turn first, Turn second) {
    return first.request().equals(second.request()) && first.answer().equals(second.answer());
  }
}
