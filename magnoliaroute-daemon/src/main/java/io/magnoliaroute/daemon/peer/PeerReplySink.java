package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Sends the reply to a request that another VM forwarded, with credit-based flow control. Used only
 * on the event loop of the peer connections.
 */
final class PeerReplySink implements ReplySink {

  /** Initial credit: the bytes that may be sent before the front end acknowledges any. */
  static final int INITIAL_CREDIT_BYTES = 256 * 1024;

  private static final int MAX_CHUNK_BYTES = 256 * 1024;

  private final Context context;
  private final PeerLinks links;
  private final VmId frontEnd;
  private final CallId call;
  private final Runnable onEnd;
  private int creditBytes = INITIAL_CREDIT_BYTES;
  private Runnable onDrain;
  private Runnable onClose = () -> {};
  private boolean closed;
  private boolean ended;

  PeerReplySink(Context context, PeerLinks links, VmId frontEnd, CallId call, Runnable onEnd) {
    this.context = context;
    this.links = links;
    this.frontEnd = frontEnd;
    this.call = call;
    this.onEnd = onEnd;
  }

  VmId frontEnd() {
    return frontEnd;
  }

  @Override
  public Context context() {
    return context;
  }

  @Override
  public void writeHead(int status, Map<String, String> headers) {
    List<PeerMessage.HeaderField> fields = new ArrayList<>();
    headers.forEach((name, value) -> fields.add(new PeerMessage.HeaderField(name, value)));
    send(new PeerMessage.ProgramHead(call, status, fields));
  }

  @Override
  public void write(Buffer part) {
    for (int start = 0; start < part.length(); start += MAX_CHUNK_BYTES) {
      int end = Math.min(part.length(), start + MAX_CHUNK_BYTES);
      send(new PeerMessage.ProgramChunk(call, Bytes.copyOf(part.getBytes(start, end))));
    }
    creditBytes -= part.length();
  }

  @Override
  public boolean isFull() {
    return !closed && creditBytes <= 0;
  }

  @Override
  public void onDrain(Runnable action) {
    onDrain = action;
  }

  @Override
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    send(new PeerMessage.ProgramClose(call));
    onEnd.run();
  }

  @Override
  public void abort() {
    terminate();
  }

  @Override
  public void onClose(Runnable action) {
    onClose = action;
  }

  @Override
  public boolean isClosed() {
    return closed;
  }

  /** Adds credit granted by the front end and resumes the writer if it was waiting. */
  void addCredit(int bytes) {
    creditBytes += bytes;
    if (creditBytes > 0 && onDrain != null) {
      Runnable action = onDrain;
      onDrain = null;
      action.run();
    }
  }

  /**
   * Closes the sink without completing the reply and runs the close handler. Used if the front end
   * cancelled the request or cannot be reached, and if the reply is aborted. Sends nothing to the
   * front end and has no effect once the reply has ended.
   */
  void terminate() {
    if (closed || ended) {
      return;
    }
    closed = true;
    ended = true;
    onClose.run();
    onEnd.run();
  }

  private void send(PeerMessage message) {
    if (!closed) {
      links.send(frontEnd, message).onFailure(failure -> terminate());
    }
  }
}
