package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * An order to cancel the stream of a bulk call, so that an urgent call gets its slot. The stream is
 * cancelled and released as {@link CallEnding#PREEMPTED}; the bulk call then waits again and
 * resumes under a new grant.
 *
 * @param victim the bulk call
 * @param victimGrantId the grant to cancel
 * @param endpoint where it runs
 * @param beneficiary the urgent call that waits
 */
public record Preemption(
    CallId victim, long victimGrantId, EndpointId endpoint, CallId beneficiary) {}
