package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * The time of the last snapshot of an account.
 *
 * @param team the team
 * @param period the period of the account
 * @param lastSnapshotMs the time of the last snapshot, or of the first grant if there is no
 *     snapshot
 */
public record AccountSnapshotTime(TeamId team, BudgetPeriod period, long lastSnapshotMs) {}
