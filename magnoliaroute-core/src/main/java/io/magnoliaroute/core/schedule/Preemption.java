package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * Request to cancel the stream of a bulk call so that an urgent call gets its slot. The caller
 * cancels the stream and releases it as {@link CallEnding#PREEMPTED}; the bulk call is then queued
 * again and resumes under a new grant.
 *
 * @param victim the bulk call to preempt
 * @param victimGrantId the grant to cancel
 * @param endpoint the endpoint on which the bulk call runs
 * @param beneficiary the urgent call that is waiting
 */
public record Preemption(
    CallId victim, long victimGrantId, EndpointId endpoint, CallId beneficiary) {}
