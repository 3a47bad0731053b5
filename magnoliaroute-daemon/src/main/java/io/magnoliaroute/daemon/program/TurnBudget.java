package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.vertx.core.Future;

/**
 * The budget of one turn. Each attempt has its own reservation and is charged once: with the tokens
 * that the engine counted if it completed, with the whole reservation if its stream was cut.
 */
final class TurnBudget {

  private final BudgetReservations budgets;
  private final TeamId team;
  private final long maxPromptTokens;
  private final int maxCompletionTokens;
  private Reservation reservation;

  TurnBudget(
      BudgetReservations budgets, TeamId team, long maxPromptTokens, int maxCompletionTokens) {
    this.budgets = budgets;
    this.team = team;
    this.maxPromptTokens = maxPromptTokens;
    this.maxCompletionTokens = maxCompletionTokens;
  }

  /**
   * Reserves the maximum cost of an attempt.
   *
   * @param partialText the text received so far; an engine that continues it reads it as part of
   *     the prompt
   */
  Future<Reservation> reserve(String partialText) {
    long resumedTokens = Bytes.ofUtf8(partialText).sizeBytes();
    return budgets.reserve(team, maxPromptTokens + resumedTokens + maxCompletionTokens);
  }

  /** Reserves the maximum cost of resuming the running attempt, however much it has generated. */
  Future<Reservation> reserveResumption() {
    return budgets.reserve(team, reservedUnits() + maxCompletionTokens);
  }

  /** Starts the next attempt with the reservation. */
  void beginAttempt(Reservation reserved) {
    reservation = reserved;
  }

  /** Charges the attempt with the units that the engine counted. */
  void settle(long units) {
    if (reservation != null) {
      budgets.settle(reservation, units);
      reservation = null;
    }
  }

  /** Charges the whole reservation, because the units that the engine has spent are unknown. */
  void chargeInFull() {
    settle(reservedUnits());
  }

  /** Releases the reservation of an attempt that was not sent. */
  void refund() {
    settle(0);
  }

  /** Releases a reservation that no attempt uses. */
  void refund(Reservation unused) {
    budgets.settle(unused, 0);
  }

  private long reservedUnits() {
    return reservation == null ? 0 : reservation.units();
  }
}
