package io.magnoliaroute.core.gateway;

import java.util.List;
import java.util.Objects;

/**
 * A rule that sends the requests of one host and path prefix to services.
 *
 * @param name the operator's name of the route
 * @param host the host that clients name, in lower case and without a port
 * @param pathPrefix the beginning of the path; starts and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may be continued after its last event
 * @param timeoutMs the longest time that a request may stay unanswered
 * @param targetLatencyMs the time within which an answer has its full worth
 * @param rank the rank of its requests; 0 goes first
 * @param maxAttempts endpoints that one request may run on
 * @param backends the services that share the requests
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
    int maxAttempts,
    List<Backend> backends) {

  /**
   * A service with its share of a route.
   *
   * @param service the name of the service
   * @param weight the share, relative to the other services of the route
   */
  public record Backend(String service, int weight) {}

  /** Copies the services and rejects a route without any. */
  public Route {
    Objects.requireNonNull(kind, "kind");
    backends = List.copyOf(backends);
    if (backends.isEmpty()) {
      throw new IllegalArgumentException("route '" + name + "' names no service");
    }
  }

  /** Returns whether a request that may have run may be sent again. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /**
   * Returns the service for a request.
   *
   * @param point spreads the requests; equal points get the same service
   */
  public String serviceFor(long point) {
    int total = backends.stream().mapToInt(Backend::weight).sum();
    if (total <= 0) {
      return backends.get(0).service();
    }
    long rest = Math.floorMod(point, (long) total);
    for (Backend backend : backends) {
      rest -= backend.weight();
      if (rest < 0) {
        return backend.service();
      }
    }
    return backends.get(backends.size() - 1).service();
  }
}
