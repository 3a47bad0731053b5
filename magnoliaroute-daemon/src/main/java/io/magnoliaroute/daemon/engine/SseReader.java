package io.magnoliaroute.daemon.engine;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Cuts the engine's bytes into server-sent events. Events before the end of the answer are passed
 * on as the bytes that came, several at a time where they came together.
 */
final class SseReader {

  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final AnswerBuilder answer;
  private final Handler<Buffer> tokens;
  private Buffer pending = Buffer.buffer();
  private boolean ended;
  private boolean done;

  SseReader(AnswerBuilder answer, Handler<Buffer> tokens) {
    this.answer = answer;
    this.tokens = tokens;
  }

  /** Takes bytes of the response. */
  void read(Buffer received) throws MalformedAnswerException {
    Buffer all = pending.length() == 0 ? received : pending.appendBuffer(received);
    int forwardEnd = 0;
    int position = 0;
    int next = endOfEvent(all, position);
    while (next >= 0) {
      event(all.getString(position, next));
      position = next;
      forwardEnd = ended ? forwardEnd : next;
      next = endOfEvent(all, position);
    }
    if (forwardEnd > 0) {
      tokens.handle(all.slice(0, forwardEnd));
    }
    pending = position == 0 ? all : all.getBuffer(position, all.length());
    if (pending.length() > MAX_EVENT_BYTES) {
      throw new MalformedAnswerException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  boolean isDone() {
    return done;
  }

  private void event(String text) throws MalformedAnswerException {
    for (String line : text.split("\n", -1)) {
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length()).strip();
      if (data.equals(DONE)) {
        done = true;
        ended = true;
        return;
      }
      add(data);
    }
  }

  private void add(String data) throws MalformedAnswerException {
    try {
      ended |= answer.add(new JsonObject(data));
    } catch (DecodeException | ClassCastException e) {
      throw new MalformedAnswerException("an event is malformed: " + e.getMessage());
    }
  }

  private static int endOfEvent(Buffer all, int from) {
    for (int i = from; i + 1 < all.length(); i++) {
      if (all.getByte(i) == '\n' && all.getByte(i + 1) == '\n') {
        return i + 2;
      }
    }
    return -1;
  }

  /** Reports an answer that is not in the chat-completions shape. */
  static final class MalformedAnswerException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
      super(message);
    }
  }
}
