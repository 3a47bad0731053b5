package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import java.util.HashMap;
import java.util.Map;

/**
 * Issues permits for requests to endpoints that limit their request rate, with a token bucket for
 * each endpoint.
 *
 * <p>One VM issues the permits of an endpoint for all VMs. Fixed shares would waste what idle VMs
 * do not use, and would be less than one request in several seconds in a large fleet. A permit can
 * be issued for a later time, so that waiting requests neither poll nor overtake each other. Not
 * thread-safe; confined to one event loop.
 */
public final class RequestPermitIssuer {

  /** Time over which unused permits accumulate. */
  static final long BURST_MS = 500;

  /**
   * Minimum rate of permits. Without any request, no response would show that a limit of zero has
   * ended.
   */
  static final double MIN_PERMITS_PER_S = 0.25;

  private static final double MS_PER_S = 1_000;

  private final Map<EndpointId, Bucket> buckets = new HashMap<>();

  /**
   * The decision on a request for a permit.
   *
   * @param granted whether the request may be sent
   * @param delayMs the delay after which the request may be sent, or, if the permit was denied,
   *     after which the next one would be available
   */
  public record Permit(boolean granted, long delayMs) {}

  // Starts empty: the VM that issued the permits before may just have issued the last ones.
  private record Bucket(long startedAtMs, TokenBucket permits) {}

  /**
   * Decides on a request for a permit.
   *
   * @param limit the limit of the endpoint
   * @param share the share of the limit that this issuer may use, from 0 to 1
   * @param maxDelayMs the longest delay that is accepted instead of a denial
   */
  public Permit request(RequestLimit limit, double share, long maxDelayMs, long nowMs) {
    Bucket bucket = buckets.get(limit.endpoint());
    if (bucket == null || bucket.startedAtMs() < limit.startedAtMs()) {
      bucket = new Bucket(limit.startedAtMs(), new TokenBucket(nowMs));
      buckets.put(limit.endpoint(), bucket);
    }
    double permitsPerS = Math.max(MIN_PERMITS_PER_S, limit.requestsPerS() * share);
    double capacity = Math.max(1, permitsPerS * BURST_MS / MS_PER_S);
    bucket.permits().refill(permitsPerS, capacity, nowMs);
    long delayMs = bucket.permits().delayMs(permitsPerS, nowMs);
    if (delayMs > maxDelayMs) {
      return new Permit(false, delayMs);
    }
    bucket.permits().take();
    return new Permit(true, delayMs);
  }

  /** Removes the bucket of an endpoint that no longer limits its requests. */
  public void remove(EndpointId endpoint) {
    buckets.remove(endpoint);
  }
}
