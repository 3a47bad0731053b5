package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.vertx.core.Future;
import java.util.Optional;

/** Keeps the token budgets of programs. */
interface TurnBudgets {

  /** By what a holder decides. */
  enum Mode {
    /** By records in the store. */
    RECORDED,
    /** From memory, as a holder that has read the records since it started. */
    REMEMBERED,
    /** From memory, whatever it knows. */
    BLIND,
    /** Only from slices that the holder has; another VM found them spent. */
    OWN_SLICE
  }

  /** What became of a reservation. */
  enum Verdict {
    /** The turn may run. */
    GRANTED,
    /** The budget does not hold another turn. */
    EXHAUSTED,
    /** The turn may not run before the store is back; no other holder may grant it. */
    WITHHELD,
    /** This holder cannot decide; another one may. */
    UNABLE
  }

  /**
   * A reservation.
   *
   * @param verdict whether the turn may run
   * @param program the program
   * @param reservedTokens the tokens set aside
   * @param usedTokens what the holder knows to be used of the budget, this turn included
   * @param holder the VM that has set them aside; absent where it is this one
   */
  record Reservation(
      Verdict verdict,
      String program,
      long reservedTokens,
      long usedTokens,
      Optional<HostPort> holder) {}

  /** Sets the most that a turn may generate aside. */
  Future<Reservation> reserve(String program, long budgetTokens, long turnTokens);

  /** Gives back what a turn has not handed to its client. */
  void settle(Reservation reservation, long handedTokens);
}
