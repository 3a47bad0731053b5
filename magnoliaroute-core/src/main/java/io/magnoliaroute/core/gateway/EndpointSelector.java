package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.Hashing;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Selects the endpoint with the lowest estimated completion time for a request.
 *
 * <p>The estimate accounts for demand peaks that fill single endpoints, endpoints that are slow for
 * short periods, endpoints that accept requests and fail them (and therefore look idle), endpoints
 * without the prompt's prefix in their cache, endpoints that became unreachable before the
 * platform's list shows it, and data centres that are partitioned off: when one endpoint becomes
 * unreachable, the others of its data centre are suspect until they accept a connection. If all
 * endpoints of a service are unreachable, all of them are candidates, so that health information
 * alone never leaves a service without an endpoint.
 */
public final class EndpointSelector {

  /** Prompt tokens that an engine processes per millisecond, from the engines' data sheet. */
  static final double PREFILL_TOKENS_PER_MS = 205;

  /**
   * Cost of a prefill as a multiple of its duration, because the other running requests of the
   * engine's batch get no tokens meanwhile. Assumes three of them: in a large fleet, a VM does not
   * know the load of most engines.
   */
  static final double PREFILL_COST_FACTOR = 4;

  /** Relative slowdown of a request on a full engine over an idle one, from the data sheet. */
  static final double FULL_ENGINE_SLOWDOWN = 0.3;

  /** Cost of a link to another data centre on the path: one round trip on it and its traffic. */
  static final double REMOTE_DATA_CENTRE_COST_MS = 15;

  /** Cost of a path through another VM: its processing time and one more hop. */
  static final double RELAY_COST_MS = 2;

  /** Cost of an endpoint with a request limit: the time to obtain a permit from another VM. */
  static final double LIMITED_ENDPOINT_COST_MS = 4;

  /** Cost of a suspect endpoint: the time until an attempt at an unreachable one is abandoned. */
  static final double SUSPECT_COST_MS = 500;

  /** Cost of a failed request to its client: it is retried from the start after a delay. */
  static final double FAILURE_COST_MS = 1_500;

  /**
   * Upper bound of the hash-based cost that keeps VMs with equal views from choosing the same
   * endpoint.
   */
  static final double MAX_SPREAD_MS = 6;

  /** Advantage of an endpoint that is the only candidate; longer than any request waits. */
  private static final double MAX_ADVANTAGE_MS = 3_600_000;

  private final EndpointDirectory directory;
  private final EndpointLoadTracker loads;
  private final PrefixCacheIndex prefixCache;
  private final ServiceTimeAverages serviceTimes;
  private final RequestLimits requestLimits;
  private final EndpointPaths paths;

  /** Creates a selector for a VM that reaches the endpoints by the given paths. */
  public EndpointSelector(
      EndpointDirectory directory,
      EndpointLoadTracker loads,
      PrefixCacheIndex prefixCache,
      ServiceTimeAverages serviceTimes,
      RequestLimits requestLimits,
      EndpointPaths paths) {
    this.directory = directory;
    this.loads = loads;
    this.prefixCache = prefixCache;
    this.serviceTimes = serviceTimes;
    this.requestLimits = requestLimits;
    this.paths = paths;
  }

  /**
   * A selected endpoint.
   *
   * @param endpoint the endpoint
   * @param permitDelayMs the delay, as far as this VM knows, until the endpoint's request limit
   *     allows the request
   * @param maxPermitDelayMs the delay beyond which another endpoint would be better
   */
  public record Selection(EndpointEntry endpoint, long permitDelayMs, long maxPermitDelayMs) {}

  /**
   * Selects the endpoint for a request.
   *
   * @param service the service that the request goes to
   * @param metadata the metadata that the client sent with the request
   * @param avoided endpoints that failed this request
   * @return the endpoint, or empty if every usable endpoint of the service is in {@code avoided}
   */
  public Optional<EndpointEntry> select(
      String service, RequestMetadata metadata, Set<EndpointId> avoided, long nowMs) {
    return select(
            service, metadata, endpoint -> !avoided.contains(endpoint.id()), any -> true, nowMs)
        .map(Selection::endpoint);
  }

  /**
   * Selects the endpoint for a request among those that are eligible for it.
   *
   * @param service the service that the request goes to
   * @param metadata the metadata that the client sent with the request
   * @param eligible whether the request may be sent to an endpoint
   * @param preferred whether an eligible endpoint is preferred to the ones that are not
   * @return the selection, or empty if no usable endpoint of the service is eligible
   */
  public Optional<Selection> select(
      String service,
      RequestMetadata metadata,
      Predicate<EndpointEntry> eligible,
      Predicate<EndpointEntry> preferred,
      long nowMs) {
    List<EndpointEntry> usable =
        directory.usableEndpoints(service, nowMs).stream().filter(eligible).toList();
    List<EndpointEntry> reachable =
        usable.stream().filter(endpoint -> !loads.isUnreachable(endpoint.id())).toList();
    List<EndpointEntry> candidates = reachable.isEmpty() ? usable : reachable;
    List<EndpointEntry> best = candidates.stream().filter(preferred).toList();
    return cheapest(best.isEmpty() ? candidates : best, service, metadata, nowMs);
  }

  private Optional<Selection> cheapest(
      List<EndpointEntry> endpoints, String service, RequestMetadata metadata, long nowMs) {
    EndpointEntry best = null;
    double bestMs = Double.MAX_VALUE;
    double secondMs = Double.MAX_VALUE;
    for (EndpointEntry endpoint : endpoints) {
      double costMs = costMs(endpoint, service, metadata, nowMs) + permitDelayMs(endpoint, nowMs);
      if (costMs < bestMs) {
        secondMs = bestMs;
        bestMs = costMs;
        best = endpoint;
      } else if (costMs < secondMs) {
        secondMs = costMs;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    long delayMs = permitDelayMs(best, nowMs);
    long advantageMs = (long) Math.min(MAX_ADVANTAGE_MS, secondMs - bestMs);
    return Optional.of(new Selection(best, delayMs, delayMs + advantageMs));
  }

  private long permitDelayMs(EndpointEntry endpoint, long nowMs) {
    return Math.max(0, requestLimits.exhaustedUntilMs(endpoint) - nowMs);
  }

  private double costMs(
      EndpointEntry endpoint, String service, RequestMetadata metadata, long nowMs) {
    double slots = Math.max(1, endpoint.slots());
    double requests = loads.estimatedRequests(endpoint.id(), nowMs);
    double slowdown = loads.slowdown(endpoint.id(), nowMs);
    double workMs = serviceTimes.meanMs(service);
    double utilization = Math.min(1.0, requests / slots);
    double queueLength = Math.max(0.0, requests + 1 - slots);
    double costMs = workMs * slowdown * (1 + FULL_ENGINE_SLOWDOWN * utilization);
    costMs += queueLength * workMs * slowdown / slots;
    double prefillMs =
        prefixCache.uncachedTokens(metadata.prefix(), endpoint) / PREFILL_TOKENS_PER_MS * slowdown;
    costMs += PREFILL_COST_FACTOR * prefillMs;
    if (loads.isFull(endpoint.id(), nowMs)) {
      costMs += workMs;
    }
    costMs += FAILURE_COST_MS * loads.excessFailureRate(endpoint.id(), nowMs);
    if (loads.isSuspect(endpoint.id())) {
      costMs += SUSPECT_COST_MS;
    }
    if (requestLimits.find(endpoint).isPresent()) {
      costMs += LIMITED_ENDPOINT_COST_MS;
    }
    costMs += paths.remoteLinks(endpoint) * REMOTE_DATA_CENTRE_COST_MS;
    if (paths.relay(endpoint.id()).isPresent()) {
      costMs += RELAY_COST_MS;
    }
    return costMs + spreadMs(metadata, endpoint);
  }

  private static double spreadMs(RequestMetadata metadata, EndpointEntry endpoint) {
    String key = metadata.sessionId().orElse(metadata.requestId()) + endpoint.id();
    return MAX_SPREAD_MS * Math.floorMod(Hashing.fnv1a64(key), 1_024L) / 1_024;
  }
}
