package io.magnoliaroute.core.settings;

/**
 * The rate limit of a team's urgent calls; calls above it are scheduled as normal calls.
 *
 * @param callsPerMinute the sustained rate in calls per minute
 * @param burstCalls the maximum burst, in calls
 */
public record UrgentRation(int callsPerMinute, int burstCalls) {}
