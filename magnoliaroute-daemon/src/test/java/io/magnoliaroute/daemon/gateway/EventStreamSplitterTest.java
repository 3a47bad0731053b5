package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests that a resumed stream contains no truncated, missing or repeated events. */
@DisplayName("The event stream splitter")
class EventStreamSplitterTest {

  private static final int MAX_EVENT_BYTES = 100;

  private final EventStreamSplitter splitter = new EventStreamSplitter(MAX_EVENT_BYTES);

  private String split(String bytes) throws EventStreamSplitter.OversizedEventException {
    return splitter.split(Buffer.buffer(bytes)).toString();
  }

  @Test
  @DisplayName("emits complete events and buffers the rest")
  void completeEvents() throws EventStreamSplitter.OversizedEventException {
    assertEquals("id: 1\ndata: a\n\n", split("id: 1\ndata: a\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), splitter.lastId());
    assertTrue(splitter.hasPartialEvent());

    assertEquals("id: 2\ndata: b\n\n", split("ta: b\n\n"));
    assertEquals(2, splitter.eventCount());
    assertFalse(splitter.hasPartialEvent());
  }

  @Test
  @DisplayName("emits the same events for any split of the bytes")
  void anySplit() throws EventStreamSplitter.OversizedEventException {
    String text = "id: 1\ndata: a\n\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n";
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 500; round++) {
      EventStreamSplitter roundSplitter = new EventStreamSplitter(MAX_EVENT_BYTES);
      StringBuilder out = new StringBuilder();
      int position = 0;
      while (position < text.length()) {
        int next = Math.min(text.length(), position + 1 + random.nextInt(7));
        out.append(roundSplitter.split(Buffer.buffer(text.substring(position, next))));
        position = next;
      }
      assertEquals(text, out.toString(), "round " + round);
      assertEquals(3, roundSplitter.eventCount(), "round " + round);
      assertEquals(Optional.of("3"), roundSplitter.lastId(), "round " + round);
    }
  }

  @Test
  @DisplayName("discards an incomplete event and skips repeated events when the stream is resumed")
  void resumed() throws EventStreamSplitter.OversizedEventException {
    split("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    splitter.prepareResume();

    assertEquals("id: 3\ndata: c\n\n", split("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    assertEquals(3, splitter.eventCount());
  }

  @Test
  @DisplayName("rejects an event that exceeds the size limit")
  void tooLong() {
    assertThrows(
        EventStreamSplitter.OversizedEventException.class,
        () -> split("x".repeat(MAX_EVENT_BYTES + 1)));
  }
}
