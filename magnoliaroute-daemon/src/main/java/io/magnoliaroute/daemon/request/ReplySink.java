package io.magnoliaroute.daemon.request;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.Map;

/**
 * Takes the reply to one request. All methods are called on {@link #context}.
 *
 * <p>The order of calls is one head, any number of writes, one end.
 */
public interface ReplySink {

  /** Returns the event loop that the sink belongs to. */
  Context context();

  /** Starts the reply. */
  void head(int status, Map<String, String> headers);

  /** Sends a part of the body. */
  void write(Buffer part);

  /** Returns whether the reader is behind; the writer then pauses until the drain handler runs. */
  boolean isFull();

  /** Sets what runs once when the reader has caught up. */
  void onDrain(Runnable action);

  /** Ends the reply. */
  void end();

  /** Ends the reply in a way that the reader sees as cut off. */
  void abort();

  /** Sets what runs when the reader leaves before the end. */
  void onClose(Runnable action);

  /** Returns whether the reader has left. */
  boolean isClosed();
}
