package io.magnoliaroute.cli;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Reads a stream of server-sent events; its final event contains the outcome. */
final class EventStreamReader {

  private static final int MAX_LINE_BYTES = 16 * 1024 * 1024;
  private static final String DATA_PREFIX = "data:";
  private static final String END_MARKER = "[DONE]";

  private final HttpClientResponse response;
  private final Consumer<JsonObject> onEvent;
  private final Promise<ApiResponse> result = Promise.promise();
  private ApiResponse finalEvent;

  EventStreamReader(HttpClientResponse response, Consumer<JsonObject> onEvent) {
    this.response = response;
    this.onEvent = onEvent;
    RecordParser lines = RecordParser.newDelimited("\n", line -> onLine(line.toString()));
    lines.maxRecordSize(MAX_LINE_BYTES);
    lines.exceptionHandler(result::tryFail);
    response.handler(lines);
    response.exceptionHandler(result::tryFail);
    response.endHandler(ended -> onEnd());
  }

  /** Returns the last event with an outcome; fails if the stream ends without one. */
  Future<ApiResponse> result() {
    return result.future();
  }

  private void onLine(String line) {
    if (!line.startsWith(DATA_PREFIX)) {
      return;
    }
    String data = line.substring(DATA_PREFIX.length()).strip();
    if (data.equals(END_MARKER)) {
      return;
    }
    try {
      JsonObject event = new JsonObject(data);
      if (event.containsKey("outcome")) {
        int status = event.getInteger("status", response.statusCode());
        finalEvent = ApiResponse.of(status, null, event);
      }
      onEvent.accept(event);
    } catch (DecodeException | ClassCastException e) {
      result.tryFail(e);
    }
  }

  private void onEnd() {
    if (finalEvent == null) {
      result.tryFail("the event stream ended without an outcome");
    } else {
      result.tryComplete(finalEvent);
    }
  }
}
