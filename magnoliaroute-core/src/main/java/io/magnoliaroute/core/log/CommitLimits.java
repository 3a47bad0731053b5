package io.magnoliaroute.core.log;

/**
 * Limits of a {@link GroupCommitter}.
 *
 * @param maxBatchRecords maximum number of records in one batch
 * @param maxBatchBytes maximum size of one batch; a single larger record is sent in a batch of its
 *     own
 * @param maxPendingRecords maximum number of records in flight and waiting
 * @param maxPendingBytes maximum size of the records in flight and waiting
 * @param intervalMs minimum time from the start of one batch to the start of the next
 * @param minBackoffMs backoff bound after the first failure of a batch; doubles with each further
 *     failure
 * @param maxBackoffMs maximum backoff after a failure
 */
public record CommitLimits(
    int maxBatchRecords,
    int maxBatchBytes,
    int maxPendingRecords,
    int maxPendingBytes,
    long intervalMs,
    long minBackoffMs,
    long maxBackoffMs) {

  /** Validates that the limits allow records to be sent. */
  public CommitLimits {
    requirePositive("maxBatchRecords", maxBatchRecords);
    requirePositive("maxBatchBytes", maxBatchBytes);
    requirePositive("maxPendingRecords", maxPendingRecords);
    requirePositive("maxPendingBytes", maxPendingBytes);
    requirePositive("minBackoffMs", minBackoffMs);
    if (intervalMs < 0) {
      throw new IllegalArgumentException("intervalMs must not be negative, was " + intervalMs);
    }
    if (maxBackoffMs < minBackoffMs) {
      throw new IllegalArgumentException(
          "maxBackoffMs must be at least " + minBackoffMs + ", was " + maxBackoffMs);
    }
  }

  /** Returns the limits of a program stream, with at most 10 batches per second. */
  public static CommitLimits defaults() {
    return new CommitLimits(256, 1024 * 1024, 4096, 16 * 1024 * 1024, 100, 50, 2_000);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
