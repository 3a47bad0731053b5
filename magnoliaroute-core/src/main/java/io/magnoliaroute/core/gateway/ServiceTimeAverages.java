package io.magnoliaroute.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the request durations of services. Not thread-safe; confined to
 * one event loop.
 */
public final class ServiceTimeAverages {

  /** Average before the first completed request: a short call of a service without a model. */
  static final double DEFAULT_MEAN_MS = 50;

  /** Weight of the newest duration; about the last twenty requests contribute to the average. */
  static final double SMOOTHING_FACTOR = 0.1;

  private final Map<String, Double> meanMs = new HashMap<>();

  /** Records the duration of a request that was answered. */
  public void recordDuration(String service, long elapsedMs) {
    meanMs.merge(
        service, (double) elapsedMs, (mean, newest) -> mean + SMOOTHING_FACTOR * (newest - mean));
  }

  /** Returns the average request duration of the service in milliseconds. */
  public double meanMs(String service) {
    return meanMs.getOrDefault(service, DEFAULT_MEAN_MS);
  }
}
