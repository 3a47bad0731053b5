package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.RequestMetadata;
import io.vertx.core.Future;
import java.util.Optional;

/** The token reservation of one turn, settled at most once. Used on one event loop. */
final class TurnReservation {

  private final TokenBudgets budgets;
  private final RequestMetadata metadata;
  private Optional<TokenBudgets.Reservation> reserved = Optional.empty();

  TurnReservation(TokenBudgets budgets, RequestMetadata metadata) {
    this.budgets = budgets;
    this.metadata = metadata;
  }

  /** Returns whether the turn belongs to a program with a budget. */
  boolean isNeeded() {
    return metadata.tokenBudget().isPresent() && metadata.programId().isPresent();
  }

  /** Reserves the largest number of tokens that the turn may generate. */
  Future<TokenBudgets.Verdict> reserve() {
    return budgets
        .reserve(
            metadata.programId().orElseThrow(),
            metadata.tokenBudget().orElseThrow(),
            metadata.maxOutputTokens())
        .map(
            reservation -> {
              if (reservation.verdict() == TokenBudgets.Verdict.GRANTED) {
                reserved = Optional.of(reservation);
              }
              return reservation.verdict();
            });
  }

  /**
   * Returns whether the turn is the first of its program. A turn without a reservation continues
   * one.
   */
  boolean isFirstTurn() {
    return reserved.map(turn -> turn.usedTokens() <= turn.reservedTokens()).orElse(false);
  }

  /** Returns the number of turns that the budget allows, including this one; at least one. */
  long turnsLeft() {
    if (reserved.isEmpty() || reserved.get().reservedTokens() <= 0) {
      return 1;
    }
    TokenBudgets.Reservation turn = reserved.get();
    long unusedTokens = metadata.tokenBudget().orElseThrow() - turn.usedTokens();
    return 1 + Math.max(0, unusedTokens / turn.reservedTokens());
  }

  /** Releases all tokens of a turn that was not sent to any endpoint. */
  void release() {
    settle(1, 0);
  }

  /**
   * Releases the tokens that were not delivered to the client.
   *
   * @param tokensPerEvent tokens in each event; 0 if unknown, which counts all tokens as delivered
   * @param events events that were delivered to the client
   */
  void settle(int tokensPerEvent, int events) {
    if (reserved.isEmpty()) {
      return;
    }
    TokenBudgets.Reservation reservation = reserved.get();
    reserved = Optional.empty();
    long delivered =
        tokensPerEvent > 0 ? (long) tokensPerEvent * events : reservation.reservedTokens();
    budgets.settle(reservation, delivered);
  }
}
