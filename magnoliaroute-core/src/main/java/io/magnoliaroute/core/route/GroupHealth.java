package io.magnoliaroute.core.route;

import java.util.Arrays;
import java.util.Collection;

/**
 * Detects slow endpoints by comparing the endpoints of a group with each other at a fixed interval.
 */
final class GroupHealth {

  private static final long UPDATE_INTERVAL_MS = 100;

  /**
   * Slowdown relative to the median from which an endpoint counts as slow and gets no new calls.
   */
  private static final double SLOW_THRESHOLD = 2.0;

  /** Slowdown below which a slow endpoint gets calls again; the hysteresis prevents flapping. */
  private static final double RECOVERY_THRESHOLD = 1.5;

  /**
   * Factor by which the time to first token may deviate further than the time between tokens,
   * because it also depends on the batch.
   */
  private static final double FIRST_TOKEN_TOLERANCE = 2.0;

  /**
   * Time without progress after which an endpoint with calls in progress counts as slow, not
   * counting the time to compute pending prompts.
   */
  private static final long STALL_TIMEOUT_MS = 900;

  private static final double FAILING_SLOWDOWN = 10;
  private static final double DEFAULT_INTER_TOKEN_MS = 20;
  private static final double DEFAULT_PROMPT_TOKEN_MS = 0.1;
  private static final double FIRST_TOKEN_BASE_MS = 40;
  private static final double PROMPT_SMOOTHING = 0.02;
  private static final int PROMPT_SAMPLE_MIN_TOKENS = 256;

  private long lastUpdateMs = Long.MIN_VALUE / 2;
  private double medianInterTokenMs = DEFAULT_INTER_TOKEN_MS;
  private double medianFirstTokenRatio = 1;
  private double promptTokenMs = DEFAULT_PROMPT_TOKEN_MS;

  /** Returns the median time between output tokens in the group. */
  double interTokenMs() {
    return medianInterTokenMs;
  }

  /** Returns the mean time to compute the given number of prompt tokens. */
  double promptMs(long tokens) {
    return tokens * promptTokenMs;
  }

  /** Returns the observed time to first token as a multiple of the expected one. */
  double firstTokenRatio(long timeToFirstTokenMs, long promptTokensAhead) {
    return timeToFirstTokenMs / (FIRST_TOKEN_BASE_MS + promptMs(promptTokensAhead));
  }

  void recordPromptTime(long timeToFirstTokenMs, long promptTokensAhead) {
    if (promptTokensAhead < PROMPT_SAMPLE_MIN_TOKENS) {
      return;
    }
    double sample = Math.max(0, timeToFirstTokenMs - FIRST_TOKEN_BASE_MS) / promptTokensAhead;
    promptTokenMs += PROMPT_SMOOTHING * (sample - promptTokenMs);
  }

  /**
   * Updates the health of all endpoints if 100 ms have passed since the last update, and returns
   * whether it did.
   */
  boolean updateIfDue(Collection<EndpointState> endpoints, long nowMs) {
    if (nowMs - lastUpdateMs < UPDATE_INTERVAL_MS && nowMs >= lastUpdateMs) {
      return false;
    }
    lastUpdateMs = nowMs;
    updateMedians(endpoints);
    boolean considerStalls = isMinorityStalled(endpoints, nowMs);
    for (EndpointState endpoint : endpoints) {
      update(endpoint, considerStalls, nowMs);
    }
    limitSlowToHalf(endpoints);
    return true;
  }

  private void updateMedians(Collection<EndpointState> endpoints) {
    medianInterTokenMs =
        median(
            endpoints.stream()
                .filter(e -> e.health.hasEnoughInterTokenSamples())
                .mapToDouble(e -> e.health.interTokenMs())
                .toArray(),
            medianInterTokenMs);
    medianFirstTokenRatio =
        median(
            endpoints.stream()
                .filter(e -> e.health.hasEnoughFirstTokenSamples())
                .mapToDouble(e -> e.health.firstTokenRatio())
                .toArray(),
            medianFirstTokenRatio);
  }

  private void update(EndpointState endpoint, boolean considerStalls, long nowMs) {
    EndpointHealth health = endpoint.health;
    boolean hasSamples = health.hasEnoughInterTokenSamples() || health.hasEnoughFirstTokenSamples();
    double slowdown = hasSamples ? 1 : health.slowdown();
    if (health.hasEnoughInterTokenSamples()) {
      slowdown = Math.max(slowdown, health.interTokenMs() / medianInterTokenMs);
    }
    if (health.hasEnoughFirstTokenSamples()) {
      double ratio = health.firstTokenRatio() / Math.max(1, medianFirstTokenRatio);
      slowdown = Math.max(slowdown, ratio / FIRST_TOKEN_TOLERANCE);
    }
    if (considerStalls && isStalled(endpoint, nowMs)) {
      slowdown =
          Math.max(slowdown, SLOW_THRESHOLD * health.msSinceProgress(nowMs) / STALL_TIMEOUT_MS);
    }
    if (health.isFailing()) {
      slowdown = Math.max(slowdown, FAILING_SLOWDOWN);
    }
    boolean slow = slowdown >= (health.isSlow() ? RECOVERY_THRESHOLD : SLOW_THRESHOLD);
    health.update(slow, slowdown);
  }

  /**
   * Limits the slow endpoints to half of the usable ones, so that a group always has endpoints for
   * new calls.
   */
  private static void limitSlowToHalf(Collection<EndpointState> endpoints) {
    EndpointState[] slow =
        endpoints.stream()
            .filter(e -> e.acceptsNewCalls() && e.health.isSlow())
            .sorted((a, b) -> Double.compare(a.health.slowdown(), b.health.slowdown()))
            .toArray(EndpointState[]::new);
    long usable = endpoints.stream().filter(EndpointState::acceptsNewCalls).count();
    long excess = slow.length - usable / 2;
    for (int i = 0; i < excess; i++) {
      slow[i].health.update(false, slow[i].health.slowdown());
    }
  }

  /**
   * Returns whether fewer than half of the endpoints with calls in progress have stalled. If more
   * have, observations are probably missing.
   */
  private boolean isMinorityStalled(Collection<EndpointState> endpoints, long nowMs) {
    long busy = endpoints.stream().filter(e -> e.outstanding() > 0).count();
    long stalled = endpoints.stream().filter(e -> isStalled(e, nowMs)).count();
    return stalled * 2 < busy;
  }

  private boolean isStalled(EndpointState endpoint, long nowMs) {
    EndpointHealth health = endpoint.health;
    double allowedMs = STALL_TIMEOUT_MS + promptMs(health.pendingPromptTokens());
    return endpoint.outstanding() > 0 && health.msSinceProgress(nowMs) > allowedMs;
  }

  private static double median(double[] values, double defaultValue) {
    if (values.length == 0) {
      return defaultValue;
    }
    Arrays.sort(values);
    return Math.max(values[(values.length - 1) / 2], Double.MIN_NORMAL);
  }
}
