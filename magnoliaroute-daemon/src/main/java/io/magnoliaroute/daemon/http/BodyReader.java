package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Bytes;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Reads a request's body up to a bound. */
final class BodyReader {

  private final HttpServerRequest request;
  private final int maxBytes;
  private final Buffer body = Buffer.buffer();
  private boolean tooLong;

  private BodyReader(HttpServerRequest request, int maxBytes) {
    this.request = request;
    this.maxBytes = maxBytes;
  }

  /** Calls {@code onBody} with the body, or {@code onTooLong} once where it is longer. */
  static void read(
      HttpServerRequest request, int maxBytes, Consumer<Bytes> onBody, Runnable onTooLong) {
    BodyReader reader = new BodyReader(request, maxBytes);
    request.handler(part -> reader.add(part, onTooLong));
    request.endHandler(end -> reader.finish(onBody));
  }

  private void add(Buffer part, Runnable onTooLong) {
    if (tooLong) {
      return;
    }
    if (body.length() + part.length() > maxBytes) {
      tooLong = true;
      request.handler(null);
      onTooLong.run();
      return;
    }
    body.appendBuffer(part);
  }

  private void finish(Consumer<Bytes> onBody) {
    if (!tooLong) {
      onBody.accept(Bytes.copyOf(body.getBytes()));
    }
  }
}
