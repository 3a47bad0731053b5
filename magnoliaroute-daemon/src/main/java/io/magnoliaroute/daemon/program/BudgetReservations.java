package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.model.TeamId;
import io.vertx.core.Future;

/** Reserves units of team budgets for calls and settles the reservations. */
public interface BudgetReservations {

  /**
   * Reserves the maximum cost of a call. The future fails with a problem if the team's budget does
   * not cover it.
   */
  Future<Reservation> reserve(TeamId team, long units);

  /**
   * Settles a reservation. Must be called exactly once for each reservation, including those of
   * calls that did not run.
   *
   * @param spentUnits the actual cost of the call, 0 if it did not run
   */
  void settle(Reservation reservation, long spentUnits);
}
