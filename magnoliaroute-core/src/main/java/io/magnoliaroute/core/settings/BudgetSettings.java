package io.magnoliaroute.core.settings;

/**
 * The budget of a team; each period has its own account.
 *
 * @param unitsPerPeriod tokens that the team may spend in one period
 * @param periodMs the length of a period
 */
public record BudgetSettings(long unitsPerPeriod, long periodMs) {}
