package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;

/**
 * What one holder has of one team's budget, for metrics.
 *
 * @param team the team
 * @param heldUnits the sizes of its slices
 * @param openedUnits the part that it may spend
 * @param reservedUnits set aside for calls that run
 * @param spentUnits spent by calls that ended
 * @param overrunUnits spent above the reservations of the calls; 0 unless a limit was not enforced
 */
public record TeamFigures(
    TeamId team,
    long heldUnits,
    long openedUnits,
    long reservedUnits,
    long spentUnits,
    long overrunUnits) {}
