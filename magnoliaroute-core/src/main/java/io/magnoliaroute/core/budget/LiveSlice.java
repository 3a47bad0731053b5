package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * A live slice with the account that it belongs to.
 *
 * @param team the team of the account
 * @param period the period of the account
 * @param state the state of the slice
 */
public record LiveSlice(TeamId team, BudgetPeriod period, SliceState state) {}
