package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.settings.HostPort;
import io.vertx.core.Future;
import java.util.Optional;

/** Enforces the token budgets of programs. */
interface TokenBudgets {

  /** On what basis a holder decides. */
  enum Mode {
    /** On records in the store. */
    RECORDED,
    /** From memory, if the holder has loaded the records since it started. */
    REMEMBERED,
    /** From memory, even if the holder has not loaded the records. */
    BLIND,
    /** Only within slices that the holder has and that other VMs count as spent. */
    OWN_SLICE,
    /**
     * Reserves nothing and reports the use that is known. Earlier releases take it for {@link
     * #RECORDED} and report the use of a turn without tokens.
     */
    HISTORY
  }

  /** The result of a reservation. */
  enum Verdict {
    /** The turn may run. */
    GRANTED,
    /** The rest of the budget is too small for another turn. */
    EXHAUSTED,
    /** The turn may not run until the store is available; no other holder may grant it. */
    WITHHELD,
    /** This holder cannot decide; another one may. */
    UNABLE
  }

  /**
   * The result of a request for tokens.
   *
   * @param verdict whether the turn may run
   * @param program the program
   * @param reservedTokens the tokens reserved
   * @param usedTokens the tokens that the holder knows to be used of the budget, including this
   *     turn
   * @param holder the VM that holds the reservation; empty if it is this one
   */
  record Reservation(
      Verdict verdict,
      String program,
      long reservedTokens,
      long usedTokens,
      Optional<HostPort> holder) {}

  /** Reserves the largest number of tokens that a turn may generate. */
  Future<Reservation> reserve(String program, long budgetTokens, long turnTokens);

  /** Releases the part of a reservation that was not delivered to the client. */
  void settle(Reservation reservation, long deliveredTokens);
}
