package io.magnoliaroute.daemon.gateway;

import io.vertx.core.buffer.Buffer;

/**
 * Buffers a response that is not forwarded as it arrives, within the memory limit that all requests
 * share. Confined to one event loop.
 */
final class ResponseBuffer {

  private final ResponseMemoryLimiter limiter;
  private Buffer body = Buffer.buffer();
  private int accountedBytes;

  ResponseBuffer(ResponseMemoryLimiter limiter) {
    this.limiter = limiter;
  }

  /** Appends bytes of the body; returns false if the memory limit does not allow it. */
  boolean append(Buffer bytes) {
    if (!tryResize(body.length() + bytes.length())) {
      return false;
    }
    body.appendBuffer(bytes);
    return true;
  }

  /** Accounts for the given size instead of the current one; returns false if it is not allowed. */
  boolean tryResize(int newBytes) {
    boolean accepted = limiter.tryResize(accountedBytes, newBytes);
    accountedBytes = accepted ? newBytes : accountedBytes;
    return accepted;
  }

  /** Discards the body and releases its memory. */
  void clear() {
    body = Buffer.buffer();
    tryResize(0);
  }

  Buffer body() {
    return body;
  }
}
