package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ReceiveMemoryLimiter;
import io.vertx.core.buffer.Buffer;

/** The body of a client request as far as it has arrived. Confined to one event loop. */
final class RequestBody {

  private final ReceiveMemoryLimiter.Message memory;
  private final long announcedBytes;
  private Buffer received = Buffer.buffer();

  /**
   * Creates an empty body.
   *
   * @param announcedBytes the {@code Content-Length}; 0 if the length is not known
   */
  RequestBody(ReceiveMemoryLimiter.Message memory, long announcedBytes) {
    this.memory = memory;
    this.announcedBytes = announcedBytes;
  }

  /** Reserves the memory for the announced length; returns false if it is short. */
  boolean tryReserve() {
    return memory.tryResize(announcedBytes);
  }

  /** Appends bytes that have arrived; returns false if the memory for them is short. */
  boolean tryAppend(Buffer bytes) {
    int newLength = received.length() + bytes.length();
    memory.recordReceived(bytes.length());
    if (newLength > announcedBytes && !memory.tryResize(capacityBytes(newLength))) {
      return false;
    }
    if (received.length() == 0) {
      received = Buffer.buffer((int) Math.max(announcedBytes, bytes.length()));
    }
    received.appendBuffer(bytes);
    return true;
  }

  // The capacity of a buffer that grows is doubled.
  private static long capacityBytes(int length) {
    return Math.max(2L * Integer.highestOneBit(length - 1), length);
  }

  int length() {
    return received.length();
  }

  /** Returns the complete body, which keeps its memory until {@link #release}. */
  Buffer complete() {
    memory.markComplete();
    return received;
  }

  /** Drops the bytes and releases their memory. */
  void release() {
    received = Buffer.buffer();
    memory.release();
  }
}
