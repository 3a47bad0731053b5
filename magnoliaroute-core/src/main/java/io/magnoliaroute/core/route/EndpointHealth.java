package io.magnoliaroute.core.route;

/**
 * Health of one endpoint as observed by the VMs: time between tokens, time to first token, time
 * without progress, and failures. Load reports of the endpoint are not used, because they show a
 * slowdown late.
 */
final class EndpointHealth {

  /** Number of samples from which an average is used. */
  private static final int MIN_SAMPLES = 4;

  private static final double SMOOTHING = 0.1;

  /**
   * Number of consecutive failures from which the endpoint gets half-open probes only. A single
   * failure may be caused by the call.
   */
  private static final int FAILURE_THRESHOLD = 2;

  /**
   * Initial probe interval. It doubles with each probe while the endpoint stays slow, because each
   * probe runs at the slow rate.
   */
  private static final long MIN_PROBE_INTERVAL_MS = 1_000;

  private static final long MAX_PROBE_INTERVAL_MS = 8_000;

  private double interTokenMs;
  private int interTokenSamples;
  private double firstTokenRatio;
  private int firstTokenSamples;
  private long lastProgressMs;
  private long pendingPromptTokens;
  private int consecutiveFailures;
  private boolean slow;
  private double slowdown = 1;
  private long lastProbeMs = Long.MIN_VALUE / 2;
  private long probeIntervalMs = MIN_PROBE_INTERVAL_MS;

  void recordTokens(int tokens, long spanMs, long nowMs) {
    interTokenMs = average(interTokenMs, interTokenSamples, (double) spanMs / tokens);
    interTokenSamples++;
    recordProgress(nowMs);
  }

  /** Records a time to first token as a multiple of the time expected for the prompt. */
  void recordFirstToken(double ratio, long nowMs) {
    firstTokenRatio = average(firstTokenRatio, firstTokenSamples, ratio);
    firstTokenSamples++;
    recordProgress(nowMs);
  }

  void recordProgress(long nowMs) {
    lastProgressMs = Math.max(lastProgressMs, nowMs);
    consecutiveFailures = 0;
  }

  void recordFailure() {
    consecutiveFailures++;
  }

  void addPendingPrompt(long tokens) {
    pendingPromptTokens = Math.max(0, pendingPromptTokens + tokens);
  }

  long pendingPromptTokens() {
    return pendingPromptTokens;
  }

  /** Restarts the time without progress when a call is sent to an idle endpoint. */
  void restartProgressTimer(long nowMs) {
    lastProgressMs = Math.max(lastProgressMs, nowMs);
  }

  /**
   * Records the start of a probe and resets the averages, so that only samples of the probe decide
   * whether the endpoint has recovered.
   */
  void startProbe(long nowMs) {
    lastProbeMs = nowMs;
    probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
    interTokenSamples = 0;
    firstTokenSamples = 0;
  }

  boolean isProbeDue(long nowMs) {
    return nowMs - lastProbeMs >= probeIntervalMs;
  }

  long msSinceProgress(long nowMs) {
    return Math.max(0, nowMs - lastProgressMs);
  }

  boolean hasEnoughInterTokenSamples() {
    return interTokenSamples >= MIN_SAMPLES;
  }

  boolean hasEnoughFirstTokenSamples() {
    return firstTokenSamples >= MIN_SAMPLES;
  }

  boolean isFailing() {
    return consecutiveFailures >= FAILURE_THRESHOLD;
  }

  double interTokenMs() {
    return interTokenMs;
  }

  double firstTokenRatio() {
    return firstTokenRatio;
  }

  boolean isSlow() {
    return slow;
  }

  /** Returns the factor by which the endpoint is slower than the group, at least 1. */
  double slowdown() {
    return slowdown;
  }

  void update(boolean newSlow, double newSlowdown) {
    if (!newSlow) {
      probeIntervalMs = MIN_PROBE_INTERVAL_MS;
    }
    slow = newSlow;
    slowdown = Math.max(1, newSlowdown);
  }

  private static double average(double current, int samples, double sample) {
    double weight = Math.max(SMOOTHING, 1.0 / (samples + 1));
    return current + weight * (sample - current);
  }
}
