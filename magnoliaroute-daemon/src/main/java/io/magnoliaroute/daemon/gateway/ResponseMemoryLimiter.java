package io.magnoliaroute.daemon.gateway;

/**
 * Limits the memory that a VM uses for incomplete responses of endpoints: responses that are
 * buffered until they are complete, and incomplete events of streams. Faulty endpoints may send
 * responses of unlimited size. Confined to one event loop.
 */
final class ResponseMemoryLimiter {

  /**
   * Limit of a single buffered response or event, beyond which the attempt fails. Those of healthy
   * endpoints have a few kilobytes.
   */
  static final int MAX_RESPONSE_BYTES = 4_194_304;

  /** Limit of all incomplete responses together; a sixth of the heap that a VM is started with. */
  static final int MAX_TOTAL_BYTES = 16_777_216;

  /**
   * Size up to which a response is buffered even if the total limit is reached; several times the
   * response size of a healthy endpoint.
   */
  static final int GUARANTEED_BYTES = 32_768;

  private long totalBytes;
  private long peakBytes;

  /**
   * Changes the buffer size of one response from the first to the second size. Returns whether the
   * limits allow it; if not, the accounted size is unchanged.
   */
  boolean tryResize(int fromBytes, int toBytes) {
    boolean grows = toBytes > fromBytes;
    long newTotal = totalBytes - fromBytes + toBytes;
    if (grows && toBytes > MAX_RESPONSE_BYTES) {
      return false;
    }
    if (grows && toBytes > GUARANTEED_BYTES && newTotal > MAX_TOTAL_BYTES) {
      return false;
    }
    totalBytes = newTotal;
    peakBytes = Math.max(peakBytes, newTotal);
    return true;
  }

  long totalBytes() {
    return totalBytes;
  }

  /** Returns the largest total so far. */
  long peakBytes() {
    return peakBytes;
  }
}
