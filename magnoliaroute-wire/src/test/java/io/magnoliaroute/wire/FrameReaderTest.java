package io.magnoliaroute.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that frames are split by their length prefix, independent of how reads divide the bytes.
 */
final class FrameReaderTest {

  private final List<byte[]> frames = new ArrayList<>();
  private final List<WireException> errors = new ArrayList<>();
  private final FrameReader reader = new FrameReader(8, frames::add, errors::add);

  /** Guards against frames that are lost or merged when reads do not end at frame boundaries. */
  @Test
  void framesAreCompleteWhenBytesArriveOneByOne() {
    Buffer twoFrames =
        FrameReader.prependLength(new byte[] {1, 2})
            .appendBuffer(FrameReader.prependLength(new byte[] {3}));
    for (int i = 0; i < twoFrames.length(); i++) {
      reader.handle(twoFrames.getBuffer(i, i + 1));
    }
    assertEquals(2, frames.size());
    assertArrayEquals(new byte[] {1, 2}, frames.get(0));
    assertArrayEquals(new byte[] {3}, frames.get(1));
  }

  /** Guards against unbounded buffering of a frame that a peer declares too long. */
  @Test
  void frameAboveMaximumLengthIsReportedOnceAndEndsReading() {
    reader.handle(Buffer.buffer().appendInt(9));
    reader.handle(FrameReader.prependLength(new byte[] {1}));
    assertEquals(1, errors.size());
    assertEquals(WireException.Kind.FRAME_LENGTH, errors.get(0).kind());
    assertEquals(0, frames.size());
  }

  /** Guards against a VM of an earlier release that waits for the rest of a tunnel request. */
  @Test
  void tunnelRequestIsReportedAtOnce() {
    FrameReader ofLargestFrames = new FrameReader(16_777_216, frames::add, errors::add);
    ofLargestFrames.handle(Buffer.buffer("CONNECT e1.1:80 HTTP/1.1\r\n\r\n"));
    assertEquals(1, errors.size());
    assertEquals(WireException.Kind.FRAME_LENGTH, errors.get(0).kind());
  }

  /** Guards against a negative length that is accepted as a short frame. */
  @Test
  void negativeLengthIsReported() {
    reader.handle(Buffer.buffer().appendInt(-1));
    assertEquals(1, errors.size());
  }

  /** Guards against memory of incomplete frames that is not accounted for. */
  @Test
  void pendingBytesCoverTheIncompleteFrameOnly() {
    Buffer complete = FrameReader.prependLength(new byte[] {1, 2});
    reader.handle(complete.copy().appendInt(4).appendByte((byte) 1));
    assertEquals(5, reader.pendingBytes());
    reader.handle(Buffer.buffer(new byte[] {2, 3}));
    assertEquals(7, reader.pendingBytes());
    reader.handle(Buffer.buffer(new byte[] {4}));
    assertEquals(0, reader.pendingBytes());
    assertArrayEquals(new byte[] {1, 2, 3, 4}, frames.get(1));
  }
}
