package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.budget.Reservation;
import io.magnoliaroute.core.model.TeamId;
import io.vertx.core.Future;

/** Reserves and settles units of a team's budget. */
public interface BudgetGate {

  /**
   * Reserves the most that a call may cost; fails with a problem when the budget does not cover it.
   */
  Future<Reservation> reserve(TeamId team, long units);

  /** Settles a reservation once, also when the call did not run. */
  void settle(Reservation reservation, long spentUnits);
}
