package io.magnoliaroute.core.settings;

/**
 * How many urgent calls a team may make; calls past it are scheduled as normal.
 *
 * @param callsPerMinute the sustained rate
 * @param burstCalls the calls that may come at once
 */
public record UrgentRation(int callsPerMinute, int burstCalls) {}
