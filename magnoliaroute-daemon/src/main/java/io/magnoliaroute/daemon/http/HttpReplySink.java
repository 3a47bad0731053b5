package io.magnoliaroute.daemon.http;

import io.magnoliaroute.daemon.request.ReplySink;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Writes the reply to an HTTP request that this VM received. */
final class HttpReplySink implements ReplySink {

  private final Context context;
  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final BooleanSupplier closeAfterReply;
  private final Runnable onEnd;
  private Runnable onClose = () -> {};
  private boolean closed;
  private boolean ended;

  /**
   * Creates a sink.
   *
   * @param closeAfterReply tests, when the reply starts, whether the connection is closed after the
   *     reply
   * @param onEnd runs once, when the reply is complete or the caller has disconnected
   */
  HttpReplySink(
      Context context, HttpServerRequest request, BooleanSupplier closeAfterReply, Runnable onEnd) {
    this.context = context;
    this.request = request;
    this.response = request.response();
    this.closeAfterReply = closeAfterReply;
    this.onEnd = onEnd;
    response.closeHandler(closing -> handleClose());
    response.exceptionHandler(failure -> handleClose());
  }

  @Override
  public Context context() {
    return context;
  }

  @Override
  public void writeHead(int status, Map<String, String> headers) {
    if (closed) {
      return;
    }
    response.setStatusCode(status);
    headers.forEach(response::putHeader);
    if (closeAfterReply.getAsBoolean()) {
      response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
    }
    if (!headers.containsKey("Content-Length")) {
      response.setChunked(true);
    }
  }

  @Override
  public void write(Buffer chunk) {
    if (!closed) {
      response.write(chunk);
    }
  }

  @Override
  public boolean isFull() {
    return !closed && response.writeQueueFull();
  }

  @Override
  public void onDrain(Runnable action) {
    response.drainHandler(drained -> action.run());
  }

  @Override
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (!closed) {
      response.end();
    }
    onEnd.run();
  }

  @Override
  public void abort() {
    request.connection().close();
  }

  @Override
  public void onClose(Runnable action) {
    onClose = action;
  }

  @Override
  public boolean isClosed() {
    return closed;
  }

  private void handleClose() {
    if (closed || ended) {
      return;
    }
    closed = true;
    ended = true;
    onClose.run();
    onEnd.run();
  }
}
