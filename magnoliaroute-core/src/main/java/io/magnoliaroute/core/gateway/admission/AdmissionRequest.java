package io.magnoliaroute.core.gateway.admission;

import java.util.OptionalLong;

/**
 * What the admission decision needs to know of a request.
 *
 * @param service the service that the request goes to
 * @param route the name of the route
 * @param workspace the name of the workspace; empty if the request has none
 * @param rank the priority rank; 0 is the highest
 * @param isNew whether the request is the first turn of its program; a request without a program
 *     continues one
 * @param targetLatencyMs the latency up to which the response has its full value
 * @param ownMs the time from the start at an endpoint until the latency is measured, on an idle
 *     endpoint
 * @param arrivedMs the time of arrival
 * @param deadlineMs the time at which the client stops waiting
 * @param finishAtMs the time by which the program should end
 * @param turnsLeft the number of turns that the program's budget allows, including this one
 * @param draw a number from 0 to 1, drawn once for the request. It decides which of several VMs
 *     with equal views admit a request, and does not change while the request waits.
 */
public record AdmissionRequest(
    String service,
    String route,
    String workspace,
    int rank,
    boolean isNew,
    long targetLatencyMs,
    double ownMs,
    long arrivedMs,
    long deadlineMs,
    OptionalLong finishAtMs,
    long turnsLeft,
    double draw) {

  /** Returns the time per turn that is left until the program should end. */
  OptionalLong leftPerTurnMs(long nowMs) {
    return finishAtMs.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, finishAtMs.getAsLong() - nowMs) / Math.max(1, turnsLeft));
  }
}
