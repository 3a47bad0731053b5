package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * When an account was last carried forward.
 *
 * @param team the team
 * @param period the period
 * @param carriedMs the time of its last snapshot, or of its first grant if there is none
 */
public record AccountAge(TeamId team, BudgetPeriod period, long carriedMs) {}
