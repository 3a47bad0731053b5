package io.magnoliaroute.core.route;

import java.util.Arrays;
import java.util.Collection;

/** Judges the endpoints of a group against each other, a few times a second. */
final class GroupHealth {

  private static final long JUDGE_INTERVAL_MS = 100;

  /** Above this multiple of the median an endpoint gets no new work. */
  private static final double SLOW_ABOVE = 2.0;

  /** Below this multiple it gets work again; the gap keeps it from changing sides all the time. */
  private static final double RETURN_BELOW = 1.5;

  /** Time to first token depends on the batch as well, so it must differ by more than the pace. */
  private static final double FIRST_TOKEN_TOLERANCE = 2.0;

  /** Silence of an endpoint with work after which it counts as slow. */
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

  /** Returns the time between tokens that is usual in the group. */
  double paceMs() {
    return medianPaceMs;
  }

  /** Returns the time that the computation of prompt tokens usually takes. */
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

  /** Judges all endpoints where a tenth of a second has passed; returns whether it did. */
  boolean judgeIfDue(Collection<EndpointLoad> endpoints, long nowMs) {
    if (nowMs - lastJudgedMs < JUDGE_INTERVAL_MS && nowMs >= lastJudgedMs) {
      return false;
    }
    lastJudgedMs = nowMs;
    updateMedians(endpoints);
    boolean silenceCounts = silenceIsRare(endpoints, nowMs);
    for (EndpointLoad endpoint : endpoints) {
      judge(endpoint, silenceCounts, nowMs);
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

  private void judge(EndpointLoad endpoint, boolean silenceCounts, long nowMs) {
    EndpointHealth health = endpoint.health;
    boolean known = health.hasTrustedPace() || health.hasTrustedFirstToken();
    double slowness = known ? 1 : health.slowness();
    if (health.hasTrustedPace()) {
      slowness = Math.max(slowness, health.paceMs() / medianPaceMs);
    }
    if (health.hasTrustedFirstToken()) {
      double ratio = health.firstTokenRatio() / Math.max(1, medianFirstTokenRatio);
      slowness = Math.max(slowness, ratio / FIRST_TOKEN_TOLERANCE);
    }
    if (silenceCounts && isSilent(endpoint, nowMs)) {
      slowness = Math.max(slowness, SLOW_ABOVE * health.silentMs(nowMs) / SILENCE_MS);
    }
    if (health.hasFailed()) {
      slowness = Math.max(slowness, FAILED_SLOWNESS);
    }
    boolean slow = slowness >= (health.isSlow() ? RETURN_BELOW : SLOW_ABOVE);
    health.judge(slow, slowness);
  }

  /** At most half of the endpoints count as slow, so that the group is never emptied. */
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

  /** Silence of most endpoints says that observations are missing, not that endpoints hang. */
  private boolean silenceIsRare(Collection<EndpointLoad> endpoints, long nowMs) {
    long working = endpoints.stream().filter(e -> e.outstanding() > 0).count();
    long silent = endpoints.stream().filter(e -> isSilent(e, nowMs)).count();
    return silent * 2 < working;
  }

  private boolean isSilent(EndpointLoad endpoint, long nowMs) {
    EndpointHealth health = endpoint.health;
    double allowedMs = SILENCE_MS + promptMs(health.pendingPromptTokens());
    return endpoint.outstanding() > 0 && health.silentMs(nowMs) > allowedMs;
  }

  private static double median(double[] values, double otherwise) {
    if (values.length == 0) {
      return otherwise;
    }
    Arrays.sort(values);
    return Math.max(values[(values.length - 1) / 2], Double.MIN_NORMAL);
  }
}
