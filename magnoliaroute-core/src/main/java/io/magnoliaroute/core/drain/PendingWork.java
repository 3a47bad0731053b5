package io.magnoliaroute.core.drain;

/**
 * The work that must complete before a VM can shut down.
 *
 * @param streams the number of calls and streams that callers are waiting for
 * @param leases the number of partitions and endpoint groups that the VM still owns
 * @param slices the number of budget slices that the VM still holds
 * @param unflushedRecords the number of records that the log has not acknowledged
 */
public record PendingWork(int streams, int leases, int slices, int unflushedRecords) {

  /** Validates that no count is negative. */
  public PendingWork {
    if (streams < 0 || leases < 0 || slices < 0 || unflushedRecords < 0) {
      throw new IllegalArgumentException(
          "counts must not be negative, were "
              + streams
              + ", "
              + leases
              + ", "
              + slices
              + ", "
              + unflushedRecords);
    }
  }

  /** Returns whether no work remains. */
  public boolean isEmpty() {
    return streams == 0 && leases == 0 && slices == 0 && unflushedRecords == 0;
  }
}
