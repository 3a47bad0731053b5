package io.magnoliaroute.core.schedule;

/**
 * Distribution of the total service of programs of one class, estimated from programs that ended.
 * It is a histogram whose buckets double in size, because a few programs are many times longer than
 * the rest.
 */
final class ProgramSizeModel {

  private static final int BUCKETS = 32;
  private static final long DEFAULT_UNITS = 1_000;
  private static final double DEFAULT_MEAN_RUN_MS = 5_000;

  /**
   * Number of programs that the default size counts for, so that it dominates until enough programs
   * have ended.
   */
  private static final double DEFAULT_COUNT = 4;

  /**
   * Total count at which all counts are halved, so that the model follows changes of the workload.
   */
  private static final double HALVING_COUNT = 2_000;

  private static final double RUN_TIME_SMOOTHING = 0.05;

  private final double[] counts = new double[BUCKETS];
  private final double[] sums = new double[BUCKETS];
  private double totalCount;
  private double meanRunMs = DEFAULT_MEAN_RUN_MS;

  ProgramSizeModel() {
    int bucket = bucketOf(DEFAULT_UNITS);
    counts[bucket] = DEFAULT_COUNT;
    sums[bucket] = DEFAULT_COUNT * DEFAULT_UNITS;
    totalCount = DEFAULT_COUNT;
  }

  /**
   * Records a program that ended; {@code programMs} is its run time without the time spent waiting
   * for slots.
   */
  void recordEnded(long units, double programMs) {
    int bucket = bucketOf(units);
    counts[bucket]++;
    sums[bucket] += units;
    totalCount++;
    meanRunMs += RUN_TIME_SMOOTHING * (programMs - meanRunMs);
    if (totalCount >= HALVING_COUNT) {
      halveCounts();
    }
  }

  /** Returns the expected remaining service of a program with the given attained service. */
  double remainingUnits(long attainedUnits) {
    int firstBucket = bucketOf(attainedUnits);
    double count = 0;
    double sum = 0;
    for (int i = firstBucket; i < BUCKETS; i++) {
      count += counts[i];
      sum += sums[i];
    }
    if (count < 1) {
      // No longer program is known. Under a heavy-tailed size distribution the remaining service is
      // about as much as the attained service.
      return Math.max(1, attainedUnits);
    }
    return Math.max(1, sum / count - attainedUnits);
  }

  /** Returns the given quantile of program sizes, rounded up to a power of two. */
  double quantileUnits(double fraction) {
    double count = 0;
    for (int i = 0; i < BUCKETS; i++) {
      count += counts[i];
      if (count >= fraction * totalCount) {
        return 2.0 * (1L << i);
      }
    }
    return Double.MAX_VALUE;
  }

  /** Returns the mean run time of a program without the time spent waiting for slots. */
  double meanRunMs() {
    return meanRunMs;
  }

  private void halveCounts() {
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] /= 2;
      sums[i] /= 2;
    }
    totalCount /= 2;
  }

  private static int bucketOf(long units) {
    return Math.min(BUCKETS - 1, 63 - Long.numberOfLeadingZeros(Math.max(1, units)));
  }
}
