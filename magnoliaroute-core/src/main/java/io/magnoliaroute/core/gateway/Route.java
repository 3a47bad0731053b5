package io.magnoliaroute.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A routing rule that forwards the requests of one host and path prefix to services.
 *
 * @param name the name of the route in the configuration
 * @param host the host that clients address, in lower case and without a port
 * @param pathPrefix the prefix of the path; starts and ends with a slash
 * @param kind determines which requests may be repeated
 * @param resumable whether a stream may be resumed after its last event
 * @param timeoutMs maximum time until a request is answered
 * @param targetLatencyMs the latency up to which a response has its full value
 * @param rank the priority rank of the route's requests; 0 is the highest
 * @param maxEndpoints maximum number of endpoints that one request may run on
 * @param backends the services among which the requests are distributed
 * @param isPublic whether requests need no key
 * @param sticky whether an endpoint serves requests faster if it served the same object or prompt
 *     lately
 * @param historyRetentionMs how long the system keeps the turns of this route; 0 if clients send
 *     the whole prompt with each turn
 * @param maxEventGapMs the longest pause between events for which a stream is on time; 0 if there
 *     is no target
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    boolean resumable,
    long timeoutMs,
    long targetLatencyMs,
    int rank,
    int maxEndpoints,
    List<Backend> backends,
    boolean isPublic,
    boolean sticky,
    long historyRetentionMs,
    long maxEventGapMs) {

  /**
   * A service and its weight in a route.
   *
   * @param service the name of the service
   * @param weight the share of requests, relative to the other services of the route
   */
  public record Backend(String service, int weight) {}

  /** Makes a defensive copy of the services and rejects a route without services. */
  public Route {
    Objects.requireNonNull(kind, "kind");
    backends = List.copyOf(backends);
    if (backends.isEmpty()) {
      throw new IllegalArgumentException("route '" + name + "' has no services");
    }
  }

  /**
   * Returns whether the system keeps the turns of this route, so that clients send only new input.
   */
  public boolean keepsHistory() {
    return historyRetentionMs > 0;
  }

  /** Returns whether a request that may have run may be retried. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /**
   * Selects the service for a request by weight.
   *
   * @param hash distributes the requests; equal values select the same service
   */
  public String serviceFor(long hash) {
    int totalWeight = backends.stream().mapToInt(Backend::weight).sum();
    if (totalWeight <= 0) {
      return backends.get(0).service();
    }
    long remainder = Math.floorMod(hash, (long) totalWeight);
    for (Backend backend : backends) {
      remainder -= backend.weight();
      if (remainder < 0) {
        return backend.service();
      }
    }
    return backends.get(backends.size() - 1).service();
  }
}
