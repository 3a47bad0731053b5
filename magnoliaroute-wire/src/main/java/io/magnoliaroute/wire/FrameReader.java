package io.magnoliaroute.wire;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;

/**
 * Splits the byte stream of a connection into frames: a 4-byte big-endian length and that many
 * bytes.
 *
 * <p>After an error it ignores all further input, because the start of the next frame is unknown.
 */
public final class FrameReader implements Handler<Buffer> {

  /** Size of the length prefix of each frame. */
  public static final int LENGTH_BYTES = 4;

  private final int maxFrameBytes;
  private final Handler<byte[]> frameHandler;
  private final Handler<WireException> errorHandler;
  private Buffer pending = Buffer.buffer();
  private boolean rejected;

  /**
   * Creates a reader.
   *
   * @param maxFrameBytes maximum length of a frame, without the length prefix
   * @param frameHandler receives each complete frame, without the length prefix
   * @param errorHandler receives at most one error, after which no frames follow
   */
  public FrameReader(
      int maxFrameBytes, Handler<byte[]> frameHandler, Handler<WireException> errorHandler) {
    if (maxFrameBytes < 1) {
      throw new IllegalArgumentException("maxFrameBytes must be positive, was " + maxFrameBytes);
    }
    this.maxFrameBytes = maxFrameBytes;
    this.frameHandler = frameHandler;
    this.errorHandler = errorHandler;
  }

  @Override
  public void handle(Buffer received) {
    if (rejected) {
      return;
    }
    Buffer buffered = pending.length() == 0 ? received : pending.appendBuffer(received);
    int position = 0;
    while (!rejected && buffered.length() - position >= LENGTH_BYTES) {
      int length = buffered.getInt(position);
      if (length < 1 || length > maxFrameBytes) {
        reject(length);
        return;
      }
      if (buffered.length() - position - LENGTH_BYTES < length) {
        break;
      }
      int start = position + LENGTH_BYTES;
      position = start + length;
      frameHandler.handle(buffered.getBytes(start, position));
    }
    if (position > 0 || buffered != pending) {
      pending = buffered.getBuffer(position, buffered.length());
    }
  }

  /** Returns the number of bytes that have been received of an incomplete frame. */
  public int pendingBytes() {
    return pending.length();
  }

  /** Prepends the length prefix to an encoded message. */
  public static Buffer prependLength(byte[] message) {
    return Buffer.buffer(LENGTH_BYTES + message.length)
        .appendInt(message.length)
        .appendBytes(message);
  }

  private void reject(int length) {
    rejected = true;
    pending = Buffer.buffer();
    errorHandler.handle(
        new WireException(
            WireException.Kind.FRAME_LENGTH,
            "frame length must be from 1 to " + maxFrameBytes + ", was " + length));
  }
}
