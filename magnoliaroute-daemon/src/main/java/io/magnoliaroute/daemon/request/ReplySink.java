package io.magnoliaroute.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.Map;

/**
 * Receives the reply to one request. All methods must be called on {@link #context}.
 *
 * <p>The expected sequence of calls is one head, any number of writes and one end.
 */
public interface ReplySink {

  /** Returns the event loop that the sink belongs to. */
  Context context();

  /** Starts the reply with its status and headers. */
  void writeHead(int status, Map<String, String> headers);

  /** Sends a part of the body. */
  void write(Buffer part);

  /** Returns whether the writer must pause until the drain handler runs (back-pressure). */
  boolean isFull();

  /** Sets the handler that runs once when the sink accepts further writes. */
  void onDrain(Runnable action);

  /** Completes the reply. */
  void end();

  /** Aborts the reply so that the receiver can detect that it is incomplete. */
  void abort();

  /** Sets the handler that runs if the receiver disconnects before the reply is complete. */
  void onClose(Runnable action);

  /** Returns whether the receiver has disconnected. */
  boolean isClosed();
}
