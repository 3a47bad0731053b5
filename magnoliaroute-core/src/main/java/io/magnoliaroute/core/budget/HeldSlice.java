package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * A live slice with its place.
 *
 * @param team the team
 * @param period the period
 * @param state the slice
 */
public record HeldSlice(TeamId team, BudgetPeriod period, SliceState state) {}
