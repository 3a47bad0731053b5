package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.vertx.core.Future;

/**
 * The budget of one turn. Each attempt is reserved on its own and charged once: what the engine
 * counted where it answered, the whole reservation where its stream was cut.
 */
final class TurnBudget {

  private final BudgetGate budgets;
  private final TeamId team;
  private final long maxPromptTokens;
  private final int maxAnswerTokens;
  private Reservation attempt;

  TurnBudget(BudgetGate budgets, TeamId team, long maxPromptTokens, int maxAnswerTokens) {
    this.budgets = budgets;
    this.team = team;
    this.maxPromptTokens = maxPromptTokens;
    this.maxAnswerTokens = maxAnswerTokens;
  }

  /**
   * Sets aside the most that an attempt may cost.
   *
   * @param textBefore the answer so far; an engine that continues it reads it as part of the prompt
   */
  Future<Reservation> reserve(String textBefore) {
    long resumedTokens = Bytes.ofUtf8(textBefore).sizeBytes();
    return budgets.reserve(team, maxPromptTokens + resumedTokens + maxAnswerTokens);
  }

  /** Sets aside the cost of resuming the attempt that runs, whatever it has made by then. */
  Future<Reservation> reserveResumption() {
    return budgets.reserve(team, heldUnits() + maxAnswerTokens);
  }

  /** Makes the reservation that of the next attempt. */
  void begin(Reservation reserved) {
    attempt = reserved;
  }

  /** Charges the attempt with what the engine counted. */
  void settle(long units) {
    if (attempt != null) {
      budgets.settle(attempt, units);
      attempt = null;
    }
  }

  /** Charges the whole reservation, because what the engine made is not known. */
  void chargeWhole() {
    settle(heldUnits());
  }

  /** Gives the reservation of an attempt back that was not sent. */
  void refund() {
    settle(0);
  }

  /** Gives back a reservation that no attempt uses. */
  void refund(Reservation unused) {
    budgets.settle(unused, 0);
  }

  private long heldUnits() {
    return attempt == null ? 0 : attempt.units();
  }
}
