package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.platform.ResponseHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/** The response to one client request; written at most once. Confined to one event loop. */
final class ClientResponse {

  private static final String CLOSE = "close";
  private static final int UNAUTHORIZED = 401;

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final BooleanSupplier stopping;
  private boolean started;
  private boolean finished;
  private boolean closing;

  ClientResponse(HttpServerRequest request, BooleanSupplier stopping) {
    this.request = request;
    this.response = request.response();
    this.stopping = stopping;
  }

  boolean isStarted() {
    return started;
  }

  boolean isFinished() {
    return finished || response.closed();
  }

  /** Announces to the client that its connection is closed after this response. */
  void closeAfterEnd() {
    closing = true;
  }

  /** Writes a complete response that this VM generates itself, such as a refusal. */
  void writeOwn(int status, String text, long retryAfterMs) {
    if (started || isFinished()) {
      return;
    }
    started = true;
    finished = true;
    response.setStatusCode(status);
    if (retryAfterMs > 0) {
      response.putHeader("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000.0));
    }
    if (status == UNAUTHORIZED) {
      response.putHeader("WWW-Authenticate", "Bearer");
    }
    announceClose();
    response.end(text + "\n");
  }

  /** Writes a complete response of an endpoint. */
  void writeComplete(ResponseHead head, MultiMap headers, Buffer body) {
    if (started || isFinished()) {
      return;
    }
    writeHead(head, headers);
    finished = true;
    response.end(body);
  }

  /** Writes the head of a response whose body follows in parts. */
  void start(ResponseHead head, MultiMap headers) {
    if (!started && !isFinished()) {
      writeHead(head, headers);
      response.setChunked(true);
    }
  }

  /**
   * Writes a part of the body. Returns whether more can be written at once; otherwise the caller
   * has to wait for {@link #onWritable}.
   */
  boolean write(Buffer bytes) {
    if (isFinished()) {
      return true;
    }
    response.write(bytes);
    return !response.writeQueueFull();
  }

  void onWritable(Runnable action) {
    response.drainHandler(drained -> action.run());
  }

  void end() {
    if (!isFinished()) {
      finished = true;
      response.end();
    }
  }

  /**
   * Aborts the response by closing the connection, so that the client does not take it as complete.
   */
  void abort() {
    if (!isFinished()) {
      finished = true;
      request.connection().close();
    }
  }

  private void writeHead(ResponseHead head, MultiMap headers) {
    started = true;
    response.setStatusCode(head.status());
    ResponseHead.copyHeaders(headers, response.headers());
    announceClose();
  }

  private void announceClose() {
    if (closing || stopping.getAsBoolean()) {
      response.putHeader("Connection", CLOSE);
    }
  }
}
