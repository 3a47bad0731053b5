package io.magnoliaroute.core.route;

import java.util.Arrays;
import java.util.Collection;

/**
 * Detects slow endpoints by comparing the endpoints of a group with each other at a fixed interval.
 */
final class GroupHealth {

  private static final long JUDGE_INTERVAL_MS = 100;

  /**
   * Slowdown relative to the median from which an endpoint counts as slow and gets no new calls.
   */
  private static final double SLOW_ABOVE = 2.0;

  /** Slowdown below which a slow endpoint gets calls again; the hysteresis prevents flapping. */
  private static final double RETURN_BELOW = 1.5;

  /**
   * Factor by which the time to first token may deviate further than the time between tokens,
   * because it also depends on the batch.
   */
  private static final double FIRST_TOKEN_TOLERANCE = 2.0;

  /**
   * Time without progress after which an endpoint with calls in progress counts as slow, not
   * counting the time to compute pending prompts.
   */
  private static final long SILENCE_MS = 900;

  private static final double FAILED_SLOWNESS = 10;
  private static final double DEFAULT_PACE_MS = 20;
  private static final double DEFAULT_PROMPT_TOKEN_MS = 0.1;
  private static final double FIRST_TOKEN_BASE_MS = 40;
  private static final double LEARNING_WEIGHT = 0.02;
  private static final int LEARNING_MIN_TOKENS = 256;

  private long lastJudgedMs = Long.MIN_VALUE / 2;
  private double medianPaceMs = DEFAULT_PACE_MS;
  private double medianFirstTokenRatio = 1;
  private double promptTokenMs = DEFAULT_PROMPT_TOKEN_MS;

  /** Returns the median time between output tokens in the group. */
  double paceMs() {
    return medianPaceMs;
  }

  /** Returns the mean time to compute the given number of prompt tokens. */
  double promptMs(long tokens) {
    return tokens * promptTokenMs;
  }

  /** Returns the observed time to first token as a multiple of the expected one. */
  double firstTokenRatio(long timeToFirstTokenMs, long promptTokensAhead) {
    return timeToFirstTokenMs / (FIRST_TOKEN_BASE_MS + promptMs(promptTokensAhead));
  }

  void learnPrompt(long timeToFirstTokenMs, long promptTokensAhead) {
    if (promptTokensAhead < LEARNING_MIN_TOKENS) {
      return;
    }
    double sample = Math.max(0, timeToFirstTokenMs - FIRST_TOKEN_BASE_MS) / promptTokensAhead;
    promptTokenMs += LEARNING_WEIGHT * (sample - promptTokenMs);
  }

  /**
   * Updates the health of all endpoints if 100 ms have passed since the last update, and returns
   * whether it did.
   */
  boolean judgeIfDue(Collection<EndpointLoad> endpoints, long nowMs) {
    if (nowMs - lastJudgedMs < JUDGE_INTERVAL_MS && nowMs >= lastJudgedMs) {
      return false;
    }
    lastJudgedMs = nowMs;
    updateMedians(endpoints);
    boolean stallsCount = silenceIsRare(endpoints, nowMs);
    for (EndpointLoad endpoint : endpoints) {
      judge(endpoint, stallsCount, nowMs);
    }
    keepHalf(endpoints);
    return true;
  }

  private void updateMedians(Collection<EndpointLoad> endpoints) {
    medianPaceMs =
        median(
            endpoints.stream()
                .filter(e -> e.health.hasTrustedPace())
                .mapToDouble(e -> e.health.paceMs())
                .toArray(),
            medianPaceMs);
    medianFirstTokenRatio =
        median(
            endpoints.stream()
                .filter(e -> e.health.hasTrustedFirstToken())
                .mapToDouble(e -> e.health.firstTokenRatio())
                .toArray(),
            medianFirstTokenRatio);
  }

  private void judge(EndpointLoad endpoint, boolean stallsCount, long nowMs) {
    EndpointHealth health = endpoint.health;
    boolean hasSamples = health.hasTrustedPace() || health.hasTrustedFirstToken();
    double slowdown = hasSamples ? 1 : health.slowness();
    if (health.hasTrustedPace()) {
      slowdown = Math.max(slowdown, health.paceMs() / medianPaceMs);
    }
    if (health.hasTrustedFirstToken()) {
      double ratio = health.firstTokenRatio() / Math.max(1, medianFirstTokenRatio);
      slowdown = Math.max(slowdown, ratio / FIRST_TOKEN_TOLERANCE);
    }
    if (stallsCount && isSilent(endpoint, nowMs)) {
      slowdown = Math.max(slowdown, SLOW_ABOVE * health.silentMs(nowMs) / SILENCE_MS);
    }
    if (health.hasFailed()) {
      slowdown = Math.max(slowdown, FAILED_SLOWNESS);
    }
    boolean slow = slowdown >= (health.isSlow() ? RETURN_BELOW : SLOW_ABOVE);
    health.judge(slow, slowdown);
  }

  /**
   * Limits the slow endpoints to half of the usable ones, so that a group always has endpoints for
   * new calls.
   */
  private static void keepHalf(Collection<EndpointLoad> endpoints) {
    EndpointLoad[] slow =
        endpoints.stream()
            .filter(e -> e.takesNewWork() && e.health.isSlow())
            .sorted((a, b) -> Double.compare(a.health.slowness(), b.health.slowness()))
            .toArray(EndpointLoad[]::new);
    long usable = endpoints.stream().filter(EndpointLoad::takesNewWork).count();
    long excess = slow.length - usable / 2;
    for (int i = 0; i < excess; i++) {
      slow[i].health.judge(false, slow[i].health.slowness());
    }
  }

  /**
   * Returns whether fewer than half of the endpoints with calls in progress have stalled. If more
   * have, observations are probably missing.
   */
  private boolean silenceIsRare(Collection<EndpointLoad> endpoints, long nowMs) {
    long busy = endpoints.stream().filter(e -> e.outstanding() > 0).count();
    long stalled = endpoints.stream().filter(e -> isSilent(e, nowMs)).count();
    return stalled * 2 < busy;
  }

  private boolean isSilent(EndpointLoad endpoint, long nowMs) {
    EndpointHealth health = endpoint.health;
    double allowedMs = SILENCE_MS + promptMs(health.pendingPromptTokens());
    return endpoint.outstanding() > 0 && health.silentMs(nowMs) > allowedMs;
  }

  private static double median(double[] values, double defaultValue) {
    if (values.length == 0) {
      return defaultValue;
    }
    Arrays.sort(values);
    return Math.max(values[(values.length - 1) / 2], Double.MIN_NORMAL);
  }
}
