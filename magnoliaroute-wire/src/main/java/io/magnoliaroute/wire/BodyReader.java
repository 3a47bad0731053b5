package io.magnoliaroute.wire;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Reads the bodies of HTTP responses within limits: a faulty sender may never end one. All bodies
 * that are read at the same time share a limit.
 */
public final class BodyReader {

  private final int maxBodyBytes;
  private final long maxTotalBytes;
  private final AtomicLong totalBytes = new AtomicLong();

  /**
   * Creates a reader.
   *
   * @param maxBodyBytes limit of one body
   * @param maxTotalBytes limit of all incomplete bodies together
   */
  public BodyReader(int maxBodyBytes, long maxTotalBytes) {
    if (maxBodyBytes < 1 || maxTotalBytes < maxBodyBytes) {
      throw new IllegalArgumentException(
          "limits must be positive and the total at least that of one body, were "
              + maxBodyBytes
              + " and "
              + maxTotalBytes);
    }
    this.maxBodyBytes = maxBodyBytes;
    this.maxTotalBytes = maxTotalBytes;
  }

  /**
   * Reads a whole body. Must be called in the turn of the event loop in which the head arrived. If
   * a limit is exceeded, the future fails and the connection is closed.
   */
  public Future<Buffer> read(HttpClientResponse response) {
    Promise<Buffer> body = Promise.promise();
    Buffer received = Buffer.buffer();
    response.exceptionHandler(body::tryFail);
    response.handler(
        bytes -> {
          if (body.future().isComplete()) {
            return;
          }
          long total = totalBytes.addAndGet(bytes.length());
          received.appendBuffer(bytes);
          if (received.length() > maxBodyBytes || total > maxTotalBytes) {
            body.tryFail(
                new LimitExceededException(
                    "response body exceeds %d bytes, or all together exceed %d bytes"
                        .formatted(maxBodyBytes, maxTotalBytes)));
            response.request().reset();
          }
        });
    response.endHandler(ended -> body.tryComplete(received));
    return body.future().onComplete(done -> totalBytes.addAndGet(-received.length()));
  }

  /**
   * Reads a whole body within a time limit, however many bytes arrive.
   *
   * @param timeoutMs time after which the future fails and the connection is closed
   */
  public Future<Buffer> read(HttpClientResponse response, long timeoutMs) {
    return read(response)
        .timeout(timeoutMs, TimeUnit.MILLISECONDS)
        .onFailure(e -> response.request().reset());
  }

  /** Thrown when a body exceeds a limit. */
  public static final class LimitExceededException extends Exception {

    private static final long serialVersionUID = 1L;

    LimitExceededException(String message) {
      super(message, null, false, false);
    }
  }
}
