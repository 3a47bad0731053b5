package io.magnoliaroute.cli;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Reads server-sent events up to the final one, which carries the outcome. */
final class EventReader {

  private static final int MAX_LINE_BYTES = 16 * 1024 * 1024;
  private static final String DATA = "data:";
  private static final String END = "[DONE]";

  private final HttpClientResponse response;
  private final Consumer<JsonObject> onEvent;
  private final Promise<ApiReply> result = Promise.promise();
  private ApiReply last;

  EventReader(HttpClientResponse response, Consumer<JsonObject> onEvent) {
    this.response = response;
    this.onEvent = onEvent;
    RecordParser lines = RecordParser.newDelimited("\n", line -> line(line.toString()));
    lines.maxRecordSize(MAX_LINE_BYTES);
    lines.exceptionHandler(result::tryFail);
    response.handler(lines);
    response.exceptionHandler(result::tryFail);
    response.endHandler(ended -> ended());
  }

  /** Returns the event with the outcome; fails if the stream ends without one. */
  Future<ApiReply> result() {
    return result.future();
  }

  private void line(String line) {
    if (!line.startsWith(DATA)) {
      return;
    }
    String data = line.substring(DATA.length()).strip();
    if (data.equals(END)) {
      return;
    }
    try {
      JsonObject event = new JsonObject(data);
      if (event.containsKey("outcome")) {
        int status = event.getInteger("status", response.statusCode());
        last = ApiReply.of(status, null, event);
      }
      onEvent.accept(event);
    } catch (DecodeException | ClassCastException e) {
      result.tryFail(e);
    }
  }

  private void ended() {
    if (last == null) {
      result.tryFail("the stream ended without an outcome");
    } else {
      result.tryComplete(last);
    }
  }
}
