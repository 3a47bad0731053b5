package io.magnoliaroute.core.settings;

/**
 * The token budget of a team. Each period is accounted for separately.
 *
 * @param unitsPerPeriod the number of tokens that the team may consume in one period
 * @param periodMs the length of a period in milliseconds
 */
public record BudgetSettings(long unitsPerPeriod, long periodMs) {}
