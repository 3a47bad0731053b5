package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.CallSpec;
import io.vertx.core.Future;
import java.util.Optional;

/** The tokens that are set aside for one turn; settled once. Used on one event loop. */
final class TurnReservation {

  private final TurnBudgets budgets;
  private final CallSpec call;
  private Optional<TurnBudgets.Reservation> reserved = Optional.empty();

  TurnReservation(TurnBudgets budgets, CallSpec call) {
    this.budgets = budgets;
    this.call = call;
  }

  /** Returns whether the turn belongs to a program with a budget. */
  boolean isNeeded() {
    return call.tokenBudget().isPresent() && call.programId().isPresent();
  }

  /** Sets the most that the turn may generate aside. */
  Future<TurnBudgets.Verdict> reserve() {
    return budgets
        .reserve(
            call.programId().orElseThrow(),
            call.tokenBudget().orElseThrow(),
            call.maxOutputTokens())
        .map(
            reservation -> {
              if (reservation.verdict() == TurnBudgets.Verdict.GRANTED) {
                reserved = Optional.of(reservation);
              }
              return reservation.verdict();
            });
  }

  /**
   * Gives back what was not handed to the client.
   *
   * @param tokensPerEvent tokens in each event; 0 where that is not known
   * @param events events that were handed to the client
   */
  void settle(int tokensPerEvent, int events) {
    if (reserved.isEmpty()) {
      return;
    }
    TurnBudgets.Reservation reservation = reserved.get();
    reserved = Optional.empty();
    long handed =
        tokensPerEvent > 0 ? (long) tokensPerEvent * events : reservation.reservedTokens();
    budgets.settle(reservation, handed);
  }
}
