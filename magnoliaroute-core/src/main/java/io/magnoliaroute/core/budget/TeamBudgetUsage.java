package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * The usage of a team's budget by one holder, for metrics.
 *
 * @param team the team
 * @param heldUnits the total size of the held slices
 * @param openedUnits the part that the holder may spend
 * @param reservedUnits the units reserved for running calls
 * @param spentUnits the units spent from the held slices
 * @param overrunUnits the units spent in excess of reservations; 0 unless a limit was not enforced
 */
public record TeamBudgetUsage(
    TeamId team,
    long heldUnits,
    long openedUnits,
    long reservedUnits,
    long spentUnits,
    long overrunUnits) {}
