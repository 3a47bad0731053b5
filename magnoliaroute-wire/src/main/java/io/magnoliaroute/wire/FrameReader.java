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
  private final Handler<byte[]> frames;
  private final Handler<WireException> errors;
  private Buffer pending = Buffer.buffer();
  private boolean failed;

  /**
   * Creates a reader.
   *
   * @param maxFrameBytes maximum length of a frame, without the length prefix
   * @param frames receives each complete frame, without the length prefix
   * @param errors receives at most one error, after which no frames follow
   */
  public FrameReader(int maxFrameBytes, Handler<byte[]> frames, Handler<WireException> errors) {
    if (maxFrameBytes < 1) {
      throw new IllegalArgumentException("maxFrameBytes must be positive, was " + maxFrameBytes);
    }
    this.maxFrameBytes = maxFrameBytes;
    this.frames = frames;
    this.errors = errors;
  }

  @Override
  public void handle(Buffer received) {
    if (failed) {
      return;
    }
    Buffer all = pending.length() == 0 ? received : pending.appendBuffer(received);
    int position = 0;
    while (!failed && all.length() - position >= LENGTH_BYTES) {
      int length = all.getInt(position);
      if (length < 1 || length > maxFrameBytes) {
        fail(length);
        return;
      }
      if (all.length() - position - LENGTH_BYTES < length) {
        break;
      }
      int start = position + LENGTH_BYTES;
      position = start + length;
      frames.handle(all.getBytes(start, position));
    }
    pending = all.getBuffer(position, all.length());
  }

  /** Prepends the length prefix to an encoded message. */
  public static Buffer frame(byte[] message) {
    return Buffer.buffer(LENGTH_BYTES + message.length)
        .appendInt(message.length)
        .appendBytes(message);
  }

  private void fail(int length) {
    failed = true;
    pending = Buffer.buffer();
    errors.handle(
        new WireException(
            WireException.Kind.FRAME_LENGTH,
            "frame length must be from 1 to " + maxFrameBytes + ", was " + length));
  }
}
