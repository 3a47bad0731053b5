package io.magnoliaroute.daemon.engine;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Splits the response bytes of an engine into server-sent events. Events before the end of the
 * response are forwarded unchanged; events that arrive together are forwarded in one buffer.
 */
final class SseReader {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final String DATA_PREFIX = "data:";
  private static final String DONE_MARKER = "[DONE]";

  private final ResponseBuilder responseBuilder;
  private final Handler<Buffer> eventHandler;
  private Buffer pending = Buffer.buffer();
  private boolean endReached;
  private boolean doneReceived;

  SseReader(ResponseBuilder responseBuilder, Handler<Buffer> eventHandler) {
    this.responseBuilder = responseBuilder;
    this.eventHandler = eventHandler;
  }

  /**
   * Processes the next bytes of the response.
   *
   * @throws MalformedResponseException if an event is not valid JSON of the expected form or an
   *     incomplete event exceeds the maximum length
   */
  void read(Buffer data) throws MalformedResponseException {
    Buffer all = pending.length() == 0 ? data : pending.appendBuffer(data);
    int forwardLength = 0;
    int position = 0;
    int eventEnd = findEventEnd(all, position);
    while (eventEnd >= 0) {
      parseEvent(all.getString(position, eventEnd));
      position = eventEnd;
      forwardLength = endReached ? forwardLength : eventEnd;
      eventEnd = findEventEnd(all, position);
    }
    if (forwardLength > 0) {
      eventHandler.handle(all.slice(0, forwardLength));
    }
    pending = position == 0 ? all : all.getBuffer(position, all.length());
    if (pending.length() > MAX_EVENT_BYTES) {
      throw new MalformedResponseException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  boolean isDoneReceived() {
    return doneReceived;
  }

  private void parseEvent(String text) throws MalformedResponseException {
    for (String line : text.split("\n", -1)) {
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length()).strip();
      if (data.equals(DONE_MARKER)) {
        doneReceived = true;
        endReached = true;
        return;
      }
      addData(data);
    }
  }

  private void addData(String data) throws MalformedResponseException {
    try {
      endReached |= responseBuilder.add(new JsonObject(data));
    } catch (DecodeException | ClassCastException e) {
      throw new MalformedResponseException("an event is malformed: " + e.getMessage());
    }
  }

  private static int findEventEnd(Buffer all, int from) {
    for (int i = from; i + 1 < all.length(); i++) {
      if (all.getByte(i) == '\n' && all.getByte(i + 1) == '\n') {
        return i + 2;
      }
    }
    return -1;
  }

  /** Thrown when a response is not a valid chat-completions stream. */
  static final class MalformedResponseException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
      super(message);
    }
  }
}
