package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * Permission to run one call on one endpoint.
 *
 * @param call the call
 * @param endpoint the endpoint on which it runs
 * @param grantId id of the grant, unique within the group scheduler; observations and results carry
 *     it, so that a late message about an earlier grant does not affect a later one
 * @param expiresMs time at which the slot is reclaimed unless the grant is released before; each
 *     observation extends it to {@link SchedulerLimits#grantExpiryMs} after the observation
 * @param expectedCachedTokens prompt tokens expected in the prefix cache of the endpoint
 * @param modelLoadNeeded whether the endpoint must load the model first
 * @param urgentDemoted whether the call was demoted from urgent to normal because it exceeded its
 *     team's urgent ration
 * @param hedge whether this is a second grant for a call that already runs on another endpoint
 */
public record SlotGrant(
    CallId call,
    EndpointId endpoint,
    long grantId,
    long expiresMs,
    int expectedCachedTokens,
    boolean modelLoadNeeded,
    boolean urgentDemoted,
    boolean hedge) {}
