package io.magnoliaroute.core.log;

/**
 * Counters of a {@link GroupCommitter} since its creation.
 *
 * @param records records acknowledged or read back
 * @param batches batches sent, including retries
 * @param bytes bytes sent, including retries
 * @param retries batches sent after a failure
 * @param refused records refused because a limit on pending records or bytes was reached
 * @param pendingRecords records pending now, in flight or waiting
 * @param pendingBytes bytes pending now, in flight or waiting
 * @param oldestPendingAgeMs age of the oldest pending record, 0 when none is pending
 */
public record CommitCounters(
    long records,
    long batches,
    long bytes,
    long retries,
    long refused,
    int pendingRecords,
    int pendingBytes,
    long oldestPendingAgeMs) {}
