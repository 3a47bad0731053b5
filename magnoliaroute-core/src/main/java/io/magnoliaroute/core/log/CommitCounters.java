package io.magnoliaroute.core.log;

/**
 * Figures of a {@link GroupCommitter} since its start.
 *
 * @param records records acknowledged or read back
 * @param batches batches handed out, repeats included
 * @param bytes bytes handed out, repeats included
 * @param retries batches handed out again after a failure
 * @param refused records refused because the bounds were reached
 * @param pendingRecords records held now
 * @param pendingBytes bytes held now
 * @param oldestWaitingMs time that the oldest record held has waited, 0 when none is held
 */
public record CommitCounters(
    long records,
    long batches,
    long bytes,
    long retries,
    long refused,
    int pendingRecords,
    int pendingBytes,
    long oldestWaitingMs) {}
