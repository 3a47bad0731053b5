package io.magnoliaroute.core.log;

/**
 * Bounds of a {@link GroupCommitter}.
 *
 * @param maxBatchRecords records in one batch
 * @param maxBatchBytes bytes in one batch; a single longer record still makes a batch of its own
 * @param maxPendingRecords records held, in flight and waiting
 * @param maxPendingBytes bytes held, in flight and waiting
 * @param intervalMs the least time from the start of one batch to the start of the next
 * @param minBackoffMs the wait after the first failure of a batch
 * @param maxBackoffMs the longest wait after a failure
 */
public record CommitLimits(
    int maxBatchRecords,
    int maxBatchBytes,
    int maxPendingRecords,
    int maxPendingBytes,
    long intervalMs,
    long minBackoffMs,
    long maxBackoffMs) {

  /** Rejects bounds that would let nothing through. */
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

  /** Returns the limits of a program stream: 10 batches a second. */
  public static CommitLimits defaults() {
    return new CommitLimits(256, 1024 * 1024, 4096, 16 * 1024 * 1024, 100, 50, 2_000);
  }

  private static void requirePositive(String what, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(what + " must be positive, was " + value);
    }
  }
}
