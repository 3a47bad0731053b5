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
class EventCutterTest {

  private static final int MAX_EVENT_BYTES = 100;

  private final EventCutter cutter = new EventCutter(MAX_EVENT_BYTES);

  private String cut(String bytes) throws EventCutter.OversizedEventException {
    return cutter.cut(Buffer.buffer(bytes)).toString();
  }

  @Test
  @DisplayName("emits complete events and buffers the rest")
  void whole() throws EventCutter.OversizedEventException {
    assertEquals("id: 1\ndata: a\n\n", cut("id: 1\ndata: a\n\nid: 2\nda"));
    assertEquals(Optional.of("1"), cutter.lastId());
    assertTrue(cutter.hasPartialEvent());

    assertEquals("id: 2\ndata: b\n\n", cut("ta: b\n\n"));
    assertEquals(2, cutter.events());
    assertFalse(cutter.hasPartialEvent());
  }

  @Test
  @DisplayName("emits the same events for any split of the bytes")
  void anySplit() throws EventCutter.OversizedEventException {
    String text = "id: 1\ndata: a\n\ndata: b\r\n\r\nid: 3\r\ndata: c\r\n\r\n";
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 500; round++) {
      EventCutter roundSplitter = new EventCutter(MAX_EVENT_BYTES);
      StringBuilder out = new StringBuilder();
      int position = 0;
      while (position < text.length()) {
        int next = Math.min(text.length(), position + 1 + random.nextInt(7));
        out.append(roundSplitter.cut(Buffer.buffer(text.substring(position, next))));
        position = next;
      }
      assertEquals(text, out.toString(), "round " + round);
      assertEquals(3, roundSplitter.events(), "round " + round);
      assertEquals(Optional.of("3"), roundSplitter.lastId(), "round " + round);
    }
  }

  @Test
  @DisplayName(
      "discards an incomplete event and skips repeated events when another attempt resumes the stream")
  void resumed() throws EventCutter.OversizedEventException {
    cut("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    cutter.restart();

    assertEquals("id: 3\ndata: c\n\n", cut("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"));
    assertEquals(3, cutter.events());
  }

  @Test
  @DisplayName("rejects an event that exceeds the size limit")
  void tooLong() {
    assertThrows(
        EventCutter.OversizedEventException.class, () -> cut("x".repeat(MAX_EVENT_BYTES + 1)));
  }
}
