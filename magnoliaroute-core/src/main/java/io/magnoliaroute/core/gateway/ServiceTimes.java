package io.magnoliaroute.core.gateway;

import java.util.HashMap;
import java.util.Map;

/** Running means of how long a service works on a request. Used on one event loop. */
public final class ServiceTimes {

  /** Used until a request of the service has ended: a short call of a plain service. */
  static final double INITIAL_MS = 50;

  /** Weight of the newest time; about the last twenty requests count. */
  static final double NEWEST_WEIGHT = 0.1;

  private final Map<String, Double> meanMs = new HashMap<>();

  /** Takes the time of a request that ended with an answer. */
  public void took(String service, long elapsedMs) {
    meanMs.merge(
        service, (double) elapsedMs, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
  }

  /** Returns the mean time. */
  public double meanMs(String service) {
    return meanMs.getOrDefault(service, INITIAL_MS);
  }
}
