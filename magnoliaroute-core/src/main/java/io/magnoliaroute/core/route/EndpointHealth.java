package io.magnoliaroute.core.route;

/**
 * Health of one endpoint as observed by the VMs: time between tokens, time to first token, time
 * without progress, and failures. Load reports of the endpoint are not used, because they show a
 * slowdown late.
 */
final class EndpointHealth {

  /** Number of samples from which an average is used. */
  private static final int TRUSTED_SAMPLES = 4;

  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /**
   * Number of consecutive failures from which the endpoint gets half-open probes only. A single
   * failure may be caused by the call.
   */
  private static final int FAILURES_IN_A_ROW = 2;

  /**
   * Initial probe interval. It doubles with each probe while the endpoint stays slow, because each
   * probe runs at the slow rate.
   */
  private static final long FIRST_PROBE_AFTER_MS = 1_000;

  private static final long MAX_PROBE_INTERVAL_MS = 8_000;

  private double paceMs;
  private int paceSamples;
  private double firstTokenRatio;
  private int firstTokenSamples;
  private long lastProgressMs;
  private long pendingPromptTokens;
  private int failuresInARow;
  private boolean slow;
  private double slowness = 1;
  private long lastProbeMs = Long.MIN_VALUE / 2;
  private long probeIntervalMs = FIRST_PROBE_AFTER_MS;

  void sawTokens(int tokens, long spanMs, long nowMs) {
    paceMs = average(paceMs, paceSamples, (double) spanMs / tokens);
    paceSamples++;
    sawProgress(nowMs);
  }

  /** Records a time to first token as a multiple of the time expected for the prompt. */
  void sawFirstToken(double ratio, long nowMs) {
    firstTokenRatio = average(firstTokenRatio, firstTokenSamples, ratio);
    firstTokenSamples++;
    sawProgress(nowMs);
  }

  void sawProgress(long nowMs) {
    lastProgressMs = Math.max(lastProgressMs, nowMs);
    failuresInARow = 0;
  }

  void sawFailure() {
    failuresInARow++;
  }

  void addPendingPrompt(long tokens) {
    pendingPromptTokens = Math.max(0, pendingPromptTokens + tokens);
  }

  long pendingPromptTokens() {
    return pendingPromptTokens;
  }

  /** Restarts the time without progress when a call is sent to an idle endpoint. */
  void startWork(long nowMs) {
    lastProgressMs = Math.max(lastProgressMs, nowMs);
  }

  /**
   * Records the start of a probe and resets the averages, so that only samples of the probe decide
   * whether the endpoint has recovered.
   */
  void startProbe(long nowMs) {
    lastProbeMs = nowMs;
    probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
    paceSamples = 0;
    firstTokenSamples = 0;
  }

  boolean isProbeDue(long nowMs) {
    return nowMs - lastProbeMs >= probeIntervalMs;
  }

  long silentMs(long nowMs) {
    return Math.max(0, nowMs - lastProgressMs);
  }

  boolean hasTrustedPace() {
    return paceSamples >= TRUSTED_SAMPLES;
  }

  boolean hasTrustedFirstToken() {
    return firstTokenSamples >= TRUSTED_SAMPLES;
  }

  boolean hasFailed() {
    return failuresInARow >= FAILURES_IN_A_ROW;
  }

  double paceMs() {
    return paceMs;
  }

  double firstTokenRatio() {
    return firstTokenRatio;
  }

  boolean isSlow() {
    return slow;
  }

  /** Returns the factor by which the endpoint is slower than the group, at least 1. */
  double slowness() {
    return slowness;
  }

  void judge(boolean newSlow, double newSlowdown) {
    if (!newSlow) {
      probeIntervalMs = FIRST_PROBE_AFTER_MS;
    }
    slow = newSlow;
    slowness = Math.max(1, newSlowdown);
  }

  private static double average(double current, int samples, double sample) {
    double weight = Math.max(NEW_SAMPLE_WEIGHT, 1.0 / (samples + 1));
    return current + weight * (sample - current);
  }
}
