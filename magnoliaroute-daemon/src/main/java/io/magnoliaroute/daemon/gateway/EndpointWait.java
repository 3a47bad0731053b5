package io.magnoliaroute.daemon.gateway;

import java.time.InstantSource;

/** Limits how long one request waits for an endpoint to become available. */
final class EndpointWait {

  /**
   * Divisor of the time until a request's deadline: the request is refused if no endpoint has
   * become available within this fraction of it.
   */
  private static final int DIVISOR = 3;

  private final ClientRequest request;
  private final InstantSource clock;

  EndpointWait(ClientRequest request, InstantSource clock) {
    this.request = request;
    this.clock = clock;
  }

  long remainingMs() {
    long maxWaitMs = (request.deadlineMs() - request.arrivedMs()) / DIVISOR;
    return maxWaitMs - (clock.millis() - request.arrivedMs());
  }

  // While permits are short, requests of a lower priority are refused at half of the delay that
  // requests of the highest priority accept, so the latter still find permits.
  long maxPermitDelayMs() {
    long leftMs = Math.max(0, remainingMs());
    return request.rank() == 0 ? leftMs : leftMs / 2;
  }
}
