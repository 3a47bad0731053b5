package io.magnoliaroute.core.program;

import java.util.Optional;

/** How a held turn fits the history of its program. */
enum TurnFit {
  /** The history does not reach the turn yet. */
  OPEN(false, null),
  /** The history has the turn. */
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

  /** Returns whether the turn need not be held any longer. */
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

  static boolean sameContent(Turn logged, Turn held) {
    return logged.request().equals(held.request()) && logged.answer().equals(held.answer());
  }
}
