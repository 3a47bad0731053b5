package io.magnoliaroute.core.schedule;

/**
 * How much service programs of one class need in all, learned from programs that ended. Counts are
 * kept in buckets that double in size, because a few programs are many times longer than the rest.
 */
final class SizeModel {

  private static final int BUCKETS = 32;
  private static final long DEFAULT_UNITS = 1_000;
  private static final double DEFAULT_BASE_MS = 5_000;

  /** Programs that the defaults count for, until enough programs have ended. */
  private static final double DEFAULT_WEIGHT = 4;

  /** Halving the counts at this number lets the model follow a change of workload. */
  private static final double FORGET_AT_COUNT = 2_000;

  private static final double BASE_WEIGHT = 0.05;

  private final double[] counts = new double[BUCKETS];
  private final double[] sums = new double[BUCKETS];
  private double totalCount;
  private double baseMs = DEFAULT_BASE_MS;

  SizeModel() {
    int bucket = bucketOf(DEFAULT_UNITS);
    counts[bucket] = DEFAULT_WEIGHT;
    sums[bucket] = DEFAULT_WEIGHT * DEFAULT_UNITS;
    totalCount = DEFAULT_WEIGHT;
  }

  /** Takes in a program that ended; {@code programMs} is its time without waits for slots. */
  void ended(long units, double programMs) {
    int bucket = bucketOf(units);
    counts[bucket]++;
    sums[bucket] += units;
    totalCount++;
    baseMs += BASE_WEIGHT * (programMs - baseMs);
    if (totalCount >= FORGET_AT_COUNT) {
      halve();
    }
  }

  /** Returns the service that a program is expected to need beyond what it has had. */
  double remainingUnits(long attainedUnits) {
    int from = bucketOf(attainedUnits);
    double count = 0;
    double sum = 0;
    for (int i = from; i < BUCKETS; i++) {
      count += counts[i];
      sum += sums[i];
    }
    if (count < 1) {
      // Nothing longer has been seen; sizes with a heavy tail last about as long again.
      return Math.max(1, attainedUnits);
    }
    return Math.max(1, sum / count - attainedUnits);
  }

  /** Returns a size that the given part of programs does not exceed, to the next power of two. */
  double quantileUnits(double part) {
    double count = 0;
    for (int i = 0; i < BUCKETS; i++) {
      count += counts[i];
      if (count >= part * totalCount) {
        return 2.0 * (1L << i);
      }
    }
    return Double.MAX_VALUE;
  }

  /** Returns the mean time of a program without waits for slots. */
  double baseMs() {
    return baseMs;
  }

  private void halve() {
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
