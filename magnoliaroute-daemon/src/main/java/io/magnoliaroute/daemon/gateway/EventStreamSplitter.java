package io.magnoliaroute.daemon.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks within an
 * event can be resumed after the last complete one.
 */
final class EventStreamSplitter {

  private static final String ID_FIELD = "id:";

  private final int maxEventBytes;
  private Buffer pending = Buffer.buffer();
  private int scanned;
  private int eventCount;
  private Optional<String> lastId = Optional.empty();
  private boolean skippingRepeated;

  /** Creates a splitter that rejects events longer than the given size. */
  EventStreamSplitter(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /** Returns the number of events that have been emitted. */
  int eventCount() {
    return eventCount;
  }

  /** Returns the id of the last emitted event that has one. */
  Optional<String> lastId() {
    return lastId;
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return pending.length() > 0;
  }

  /** Returns the number of buffered bytes of an incomplete event. */
  int partialBytes() {
    return pending.length();
  }

  /**
   * Prepares for bytes from a new attempt: discards an incomplete event, and skips the events that
   * the new attempt repeats.
   */
  void prepareResume() {
    pending = Buffer.buffer();
    scanned = 0;
    skippingRepeated = true;
  }

  /** Adds received bytes and returns the events that are complete now, if any. */
  Buffer split(Buffer received) throws OversizedEventException {
    Buffer all = pending.length() == 0 ? received : pending.appendBuffer(received);
    Buffer complete = Buffer.buffer();
    int start = 0;
    int position = Math.max(0, scanned - 3);
    int end = endOfEvent(all, position);
    while (end >= 0) {
      emitUnlessRepeated(all.slice(start, end), complete);
      start = end;
      end = endOfEvent(all, start);
    }
    pending = start == 0 ? all : all.getBuffer(start, all.length());
    scanned = pending.length();
    if (pending.length() > maxEventBytes) {
      throw new OversizedEventException(pending.length());
    }
    return complete;
  }

  // A new attempt may repeat events of the previous one. Their ids identify the repeated events.
  private void emitUnlessRepeated(Buffer event, Buffer complete) {
    Optional<String> id = idOf(event);
    if (skippingRepeated && id.isPresent() && isAtMost(id.get(), lastId)) {
      return;
    }
    skippingRepeated = false;
    if (id.isPresent()) {
      lastId = id;
    }
    eventCount++;
    complete.appendBuffer(event);
  }

  private static boolean isAtMost(String id, Optional<String> last) {
    try {
      return last.isPresent() && Long.parseLong(id) <= Long.parseLong(last.get());
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static Optional<String> idOf(Buffer event) {
    String text = event.toString(StandardCharsets.UTF_8);
    int at = text.startsWith(ID_FIELD) ? 0 : text.indexOf("\n" + ID_FIELD) + 1;
    if (at == 0 && !text.startsWith(ID_FIELD)) {
      return Optional.empty();
    }
    int lineEnd = text.indexOf('\n', at);
    String value = text.substring(at + ID_FIELD.length(), lineEnd < 0 ? text.length() : lineEnd);
    return Optional.of(value.strip());
  }

  private static int endOfEvent(Buffer all, int from) {
    for (int i = from; i + 1 < all.length(); i++) {
      if (all.getByte(i) != '\n') {
        continue;
      }
      if (all.getByte(i + 1) == '\n') {
        return i + 2;
      }
      if (i + 2 < all.length() && all.getByte(i + 1) == '\r' && all.getByte(i + 2) == '\n') {
        return i + 3;
      }
    }
    return -1;
  }

  /** Thrown when an event is longer than the limit. */
  static final class OversizedEventException extends Exception {

    private static final long serialVersionUID = 1L;

    OversizedEventException(int lengthBytes) {
      super("event exceeds the size limit: received " + lengthBytes + " bytes");
    }
  }
}
