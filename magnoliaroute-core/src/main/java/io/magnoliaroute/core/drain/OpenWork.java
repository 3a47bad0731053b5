package io.magnoliaroute.core.drain;

/**
 * What keeps a VM from stopping.
 *
 * @param streams calls and streams that callers wait for
 * @param leases partitions and endpoint groups that the VM still owns
 * @param slices budget slices that it still holds
 * @param unflushedRecords records that the log has not confirmed
 */
public record OpenWork(int streams, int leases, int slices, int unflushedRecords) {

  /** Rejects negative counts. */
  public OpenWork {
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

  /** Returns whether nothing is left. */
  public boolean isEmpty() {
    return streams == 0 && leases == 0 && slices == 0 && unflushedRecords == 0;
  }
}
