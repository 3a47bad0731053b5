package io.magnoliaroute.core.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the request durations and output lengths of services, from which
 * the duration of a request is estimated. Not thread-safe; confined to one event loop.
 */
public final class ServiceTimeAverages {

  /** Average before the first completed request: a short call of a service without a model. */
  static final double DEFAULT_MEAN_MS = 50;

  /** Weight of the newest request; about the last twenty contribute to the averages. */
  static final double SMOOTHING_FACTOR = 0.1;

  /** Limit of an estimate, as a multiple of the average and as its fraction: lengths are hints. */
  static final double MAX_RELATIVE_LENGTH = 4;

  private final Map<String, Double> meanMs = new HashMap<>();
  private final Map<String, Double> meanOutputTokens = new HashMap<>();

  /**
   * Records a request that was answered.
   *
   * @param maxOutputTokens the maximum length of its output; 0 if it is not a model call
   */
  public void recordCompletion(String service, long elapsedMs, long maxOutputTokens) {
    update(meanMs, service, (double) elapsedMs);
    if (maxOutputTokens > 0) {
      update(meanOutputTokens, service, (double) maxOutputTokens);
    }
  }

  /**
   * Returns the expected duration of a request in milliseconds: the average, in proportion to the
   * length of its output where that is known.
   *
   * @param maxOutputTokens the maximum length of its output; 0 if it is not a model call
   */
  public double expectedMs(String service, long maxOutputTokens) {
    double averageMs = meanMs.getOrDefault(service, DEFAULT_MEAN_MS);
    Double averageTokens = meanOutputTokens.get(service);
    if (averageTokens == null || maxOutputTokens <= 0) {
      return averageMs;
    }
    double relativeLength = maxOutputTokens / averageTokens;
    return averageMs
        * Math.min(MAX_RELATIVE_LENGTH, Math.max(1 / MAX_RELATIVE_LENGTH, relativeLength));
  }

  private static void update(Map<String, Double> means, String service, double newest) {
    means.merge(service, newest, (mean, value) -> mean + SMOOTHING_FACTOR * (value - mean));
  }
}
