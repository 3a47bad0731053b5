package io.magnoliaroute.daemon.gateway;

import io.vertx.core.Future;

/** Keeps the token budgets of programs. */
interface TurnBudgets {

  /** What became of a reservation. */
  enum Verdict {
    /** The turn may run. */
    GRANTED,
    /** The budget does not hold another turn. */
    EXHAUSTED,
    /** It cannot be known now whether the budget holds another turn. */
    UNKNOWN
  }

  /**
   * A reservation.
   *
   * @param verdict whether the turn may run
   * @param reservedTokens the tokens set aside
   */
  record Reservation(Verdict verdict, long reservedTokens) {}

  /** Sets the most that a turn may generate aside. */
  Future<Reservation> reserve(String program, long budgetTokens, long turnTokens, long waitMs);

  /** Gives back what a turn has not handed to its client. */
  void settle(String program, long reservedTokens, long handedTokens);
}
