package io.magnoliaroute.daemon.http;

import io.magnoliaroute.core.model.Bytes;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Reads a request body up to a maximum size. */
final class BodyReader {

  private final HttpServerRequest request;
  private final int maxBytes;
  private final Buffer body = Buffer.buffer();
  private boolean tooLarge;

  private BodyReader(HttpServerRequest request, int maxBytes) {
    this.request = request;
    this.maxBytes = maxBytes;
  }

  /**
   * Reads the body of a request. Exactly one of the callbacks runs if the body ends or exceeds the
   * limit; neither runs if the connection closes before that.
   *
   * @param onBody receives the complete body
   * @param onTooLarge runs as soon as the body exceeds {@code maxBytes}
   */
  static void read(
      HttpServerRequest request, int maxBytes, Consumer<Bytes> onBody, Runnable onTooLarge) {
    BodyReader reader = new BodyReader(request, maxBytes);
    request.handler(chunk -> reader.append(chunk, onTooLarge));
    request.endHandler(end -> reader.complete(onBody));
  }

  private void append(Buffer chunk, Runnable onTooLarge) {
    if (tooLarge) {
      return;
    }
    if (body.length() + chunk.length() > maxBytes) {
      tooLarge = true;
      request.handler(null);
      onTooLarge.run();
      return;
    }
    body.appendBuffer(chunk);
  }

  private void complete(Consumer<Bytes> onBody) {
    if (!tooLarge) {
      onBody.accept(Bytes.copyOf(body.getBytes()));
    }
  }
}
