package io.magnoliaroute.daemon.gateway;

import io.vertx.core.Future;

/** Grants every turn. */
final class UnlimitedBudgets implements TurnBudgets {

  @Override
  public Future<Reservation> reserve(
      String program, long budgetTokens, long turnTokens, long waitMs) {
    return Future.succeededFuture(new Reservation(Verdict.GRANTED, turnTokens));
  }

  @Override
  public void settle(String program, long reservedTokens, long handedTokens) {}
}
