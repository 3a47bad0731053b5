package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.PriorityClass;
import java.util.Arrays;

/** What the group has learned from released calls: slot times, output lengths, service rates. */
final class GroupStatistics {

  private static final double DEFAULT_SLOT_MS = 4_000;
  private static final double DEFAULT_OUTPUT_TOKENS = 200;
  private static final double DEFAULT_UNITS_PER_SLOT_MS = 0.05;
  private static final double SLOT_WEIGHT = 0.02;
  private static final double RATE_WEIGHT = 0.02;
  private static final double OUTPUT_WEIGHT = 0.02;

  /** Time over which the service of each class is averaged. */
  private static final double RATE_WINDOW_MS = 10_000;

  private final double[] outputTokens = new double[PriorityClass.values().length];
  private final double[] servedUnits = new double[PriorityClass.values().length];
  private double slotMs = DEFAULT_SLOT_MS;
  private double unitsPerSlotMs = DEFAULT_UNITS_PER_SLOT_MS;
  private long decayedMs;

  GroupStatistics() {
    Arrays.fill(outputTokens, DEFAULT_OUTPUT_TOKENS);
  }

  /** Takes in a slot that was held for a time and gave a service. */
  void released(PriorityClass priority, long heldMs, long units, long nowMs) {
    decay(nowMs);
    servedUnits[priority.rank()] += units;
    if (units < 1 || heldMs < 1) {
      return;
    }
    slotMs += SLOT_WEIGHT * (heldMs - slotMs);
    // Weighted by the time held, so that the quotient is service over time and not a mean of rates.
    double weight = Math.min(1, RATE_WEIGHT * heldMs / slotMs);
    unitsPerSlotMs += weight * ((double) units / heldMs - unitsPerSlotMs);
  }

  void completed(PriorityClass priority, int tokens) {
    int rank = priority.rank();
    outputTokens[rank] += OUTPUT_WEIGHT * (tokens - outputTokens[rank]);
  }

  double expectedOutputTokens(PriorityClass priority) {
    return outputTokens[priority.rank()];
  }

  /** Returns the usual time for which a call holds a slot. */
  double slotMs() {
    return slotMs;
  }

  /** Returns the service that one busy slot gives in a millisecond. */
  double unitsPerSlotMs() {
    return Math.max(unitsPerSlotMs, Double.MIN_NORMAL);
  }

  /** Returns the recent service in a millisecond to classes that precede the given one. */
  double unitsPerMsBefore(PriorityClass priority, long nowMs) {
    decay(nowMs);
    double units = 0;
    for (int rank = 0; rank < priority.rank(); rank++) {
      units += servedUnits[rank];
    }
    return units / RATE_WINDOW_MS;
  }

  private void decay(long nowMs) {
    long passedMs = nowMs - decayedMs;
    if (passedMs <= 0) {
      return;
    }
    decayedMs = nowMs;
    double kept = Math.exp(-passedMs / RATE_WINDOW_MS);
    for (int rank = 0; rank < servedUnits.length; rank++) {
      servedUnits[rank] *= kept;
    }
  }
}
