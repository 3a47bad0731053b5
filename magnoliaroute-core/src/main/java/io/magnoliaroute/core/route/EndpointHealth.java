package io.magnoliaroute.core.route;

/**
 * What the VMs have seen of one endpoint: token pace, time to first token, silence and failures.
 * Its own load reports play no part, because they show a slowdown late.
 */
final class EndpointHealth {

  /** Samples after which an average is trusted. */
  private static final int TRUSTED_SAMPLES = 4;

  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /** Failures in a row after which the endpoint gets probes only; one may be the call's fault. */
  private static final int FAILURES_IN_A_ROW = 2;

  /** Each probe runs at the slow pace, so probes become rarer while the endpoint stays slow. */
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

  /** Takes in the time to first token as a multiple of the time expected for the prompt. */
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

  /** Restarts the measure of silence when a call is sent to an idle endpoint. */
  void startWork(long nowMs) {
    lastProgressMs = Math.max(lastProgressMs, nowMs);
  }

  /** Forgets averages of the time before a probe, so that the probe alone decides the return. */
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

  /** Returns how many times slower than the group the endpoint is, at least 1. */
  double slowness() {
    return slowness;
  }

  void judge(boolean nowSlow, double newSlowness) {
    if (!nowSlow) {
      probeIntervalMs = FIRST_PROBE_AFTER_MS;
    }
    slow = nowSlow;
    slowness = Math.max(1, newSlowness);
  }

  private static double average(double before, int samples, double sample) {
    double weight = Math.max(NEW_SAMPLE_WEIGHT, 1.0 / (samples + 1));
    return before + weight * (sample - before);
  }
}
