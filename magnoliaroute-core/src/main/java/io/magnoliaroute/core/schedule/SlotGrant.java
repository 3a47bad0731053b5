package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * Permission to run one call on one endpoint.
 *
 * @param call the call
 * @param endpoint where it runs
 * @param grantId unique within the group scheduler; observations and results name it, so that a
 *     late message about an earlier grant cannot touch a later one
 * @param expiresMs when the slot is taken back unless the grant is released; each observation moves
 *     it to {@link SchedulerLimits#grantExpiryMs} after the observation
 * @param expectedCachedTokens prompt tokens expected in the prefix cache there
 * @param modelLoadNeeded whether the endpoint must load the model first
 * @param urgentDemoted whether the call was urgent past its team's ration
 * @param hedge whether the call already runs on another endpoint under another grant
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
