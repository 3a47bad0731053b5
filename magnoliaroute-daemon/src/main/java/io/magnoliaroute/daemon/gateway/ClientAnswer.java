package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.platform.ReplyHead;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/** The answer to one client request; at most one is written. Used on one event loop. */
final class ClientAnswer {

  private static final String CLOSE = "close";

  private final HttpServerRequest request;
  private final HttpServerResponse response;
  private final BooleanSupplier stopping;
  private boolean begun;
  private boolean over;

  ClientAnswer(HttpServerRequest request, BooleanSupplier stopping) {
    this.request = request;
    this.response = request.response();
    this.stopping = stopping;
  }

  boolean hasBegun() {
    return begun;
  }

  boolean isOver() {
    return over || response.closed();
  }

  /** Writes an answer of this VM's own. */
  void own(int status, String text, long retryAfterMs) {
    if (begun || isOver()) {
      return;
    }
    begun = true;
    over = true;
    response.setStatusCode(status);
    if (retryAfterMs > 0) {
      response.putHeader("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000.0));
    }
    closeIfStopping();
    response.end(text + "\n");
  }

  /** Writes a whole answer of an endpoint. */
  void whole(ReplyHead head, MultiMap headers, Buffer body) {
    if (begun || isOver()) {
      return;
    }
    head(head, headers);
    over = true;
    response.end(body);
  }

  /** Begins an answer whose body follows in parts. */
  void begin(ReplyHead head, MultiMap headers) {
    if (!begun && !isOver()) {
      head(head, headers);
      response.setChunked(true);
    }
  }

  /** Writes a part of the body; returns whether the client takes more now. */
  boolean write(Buffer bytes) {
    if (isOver()) {
      return true;
    }
    response.write(bytes);
    return !response.writeQueueFull();
  }

  void whenWritable(Runnable step) {
    response.drainHandler(drained -> step.run());
  }

  void end() {
    if (!isOver()) {
      over = true;
      response.end();
    }
  }

  /** Breaks the answer off, so that it does not look whole. */
  void breakOff() {
    if (!isOver()) {
      over = true;
      request.connection().close();
    }
  }

  private void head(ReplyHead head, MultiMap headers) {
    begun = true;
    response.setStatusCode(head.status());
    ReplyHead.copy(headers, response.headers());
    closeIfStopping();
  }

  private void closeIfStopping() {
    if (stopping.getAsBoolean()) {
      response.putHeader("Connection", CLOSE);
    }
  }
}
