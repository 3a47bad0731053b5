package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.Arrays;

/**
 * Moving averages over the released grants of a group: slot time, output length and service rate.
 */
final class GroupStatistics {

  private static final double DEFAULT_MEAN_SLOT_MS = 4_000;
  private static final double DEFAULT_OUTPUT_TOKENS = 200;
  private static final double DEFAULT_UNITS_PER_SLOT_MS = 0.05;
  private static final double SLOT_SMOOTHING = 0.02;
  private static final double RATE_SMOOTHING = 0.02;
  private static final double OUTPUT_SMOOTHING = 0.02;

  /** Time constant of the exponential decay of the service of each class. */
  private static final double RATE_WINDOW_MS = 10_000;

  private final double[] outputTokens = new double[PriorityClass.values().length];
  private final double[] servedUnits = new double[PriorityClass.values().length];
  private double meanSlotMs = DEFAULT_MEAN_SLOT_MS;
  private double unitsPerSlotMs = DEFAULT_UNITS_PER_SLOT_MS;
  private long decayedMs;

  GroupStatistics() {
    Arrays.fill(outputTokens, DEFAULT_OUTPUT_TOKENS);
  }

  /**
   * Records a released grant with the time that it held its slot and the service that it provided.
   */
  void recordRelease(PriorityClass priority, long heldMs, long units, long nowMs) {
    decay(nowMs);
    servedUnits[priority.rank()] += units;
    if (units < 1 || heldMs < 1) {
      return;
    }
    meanSlotMs += SLOT_SMOOTHING * (heldMs - meanSlotMs);
    // Weighted by the time held, so that the average is total service over total time, not a mean
    // of rates.
    double weight = Math.min(1, RATE_SMOOTHING * heldMs / meanSlotMs);
    unitsPerSlotMs += weight * ((double) units / heldMs - unitsPerSlotMs);
  }

  void recordCompletion(PriorityClass priority, int tokens) {
    int rank = priority.rank();
    outputTokens[rank] += OUTPUT_SMOOTHING * (tokens - outputTokens[rank]);
  }

  double expectedOutputTokens(PriorityClass priority) {
    return outputTokens[priority.rank()];
  }

  /** Returns the mean time for which a call holds a slot. */
  double meanSlotMs() {
    return meanSlotMs;
  }

  /** Returns the mean service in units that a busy slot provides per millisecond. */
  double unitsPerSlotMs() {
    return Math.max(unitsPerSlotMs, Double.MIN_NORMAL);
  }

  /** Returns the recent service in units per millisecond to the classes above the given one. */
  double unitsPerMsOfHigherClasses(PriorityClass priority, long nowMs) {
    decay(nowMs);
    double units = 0;
    for (int rank = 0; rank < priority.rank(); rank++) {
      units += servedUnits[rank];
    }
    return units / RATE_WINDOW_MS;
  }

  private void decay(long nowMs) {
    long elapsedMs = nowMs - decayedMs;
    if (elapsedMs <= 0) {
      return;
    }
    decayedMs = nowMs;
    double retained = Math.exp(-elapsedMs / RATE_WINDOW_MS);
    for (int rank = 0; rank < servedUnits.length; rank++) {
      servedUnits[rank] *= retained;
    }
  }
}
