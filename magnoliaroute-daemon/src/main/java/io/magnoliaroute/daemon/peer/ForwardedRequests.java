package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Forwards requests from this front end to partition owners and relays the replies. The map of
 * forwarded requests is accessed only on the event loop of the peer connections.
 */
final class ForwardedRequests {

  private static final long RETRY_AFTER_MS = 500;

  private record Key(VmId owner, CallId call) {}

  private static final class PendingReply {
    private final ReplySink sink;
    private boolean headSent;

    PendingReply(ReplySink sink) {
      this.sink = sink;
    }
  }

  private final Context context;
  private final PeerLinks links;
  private final Map<Key, PendingReply> pendingReplies = new HashMap<>();

  ForwardedRequests(Context context, PeerLinks links) {
    this.context = context;
    this.links = links;
  }

  /** Forwards the request to the owner and relays its reply to the sink. */
  void forward(VmId owner, CallerRequest request, ReplySink sink) {
    List<PeerMessage.HeaderField> fields = new ArrayList<>();
    request.fields().forEach((name, value) -> fields.add(new PeerMessage.HeaderField(name, value)));
    PeerMessage.ProgramOpen open =
        new PeerMessage.ProgramOpen(
            request.call(),
            request.kind().wireName(),
            request.team(),
            request.forwardCount(),
            fields,
            request.body());
    Key key = new Key(owner, request.call());
    sink.onClose(() -> context.runOnContext(run -> cancel(key)));
    context.runOnContext(run -> sendOpen(key, open, sink));
  }

  private void sendOpen(Key key, PeerMessage.ProgramOpen open, ReplySink sink) {
    pendingReplies.put(key, new PendingReply(sink));
    links
        .send(key.owner(), open)
        .onFailure(
            failure -> {
              if (pendingReplies.remove(key) != null) {
                replyProblem(sink, ProblemCode.OWNER_UNREACHABLE, "the owner was not reached");
              }
            });
  }

  void handleHead(VmId from, PeerMessage.ProgramHead head) {
    PendingReply pendingReply = pendingReplies.get(new Key(from, head.call()));
    if (pendingReply == null) {
      return;
    }
    pendingReply.headSent = true;
    Map<String, String> headers = new HashMap<>();
    head.fields().forEach(field -> headers.put(field.name(), field.value()));
    pendingReply
        .sink
        .context()
        .runOnContext(run -> pendingReply.sink.writeHead(head.status(), headers));
  }

  void handleChunk(VmId from, PeerMessage.ProgramChunk chunk) {
    Key key = new Key(from, chunk.call());
    PendingReply pendingReply = pendingReplies.get(key);
    if (pendingReply == null) {
      return;
    }
    ReplySink sink = pendingReply.sink;
    sink.context()
        .runOnContext(
            run -> {
              sink.write(Buffer.buffer(chunk.content().toArray()));
              if (sink.isFull()) {
                sink.onDrain(() -> sendCredit(key, chunk.content().sizeBytes()));
              } else {
                sendCredit(key, chunk.content().sizeBytes());
              }
            });
  }

  void handleClose(VmId from, CallId call) {
    PendingReply pendingReply = pendingReplies.remove(new Key(from, call));
    if (pendingReply != null) {
      pendingReply.sink.context().runOnContext(run -> pendingReply.sink.end());
    }
  }

  /**
   * Ends all requests that were forwarded to an unreachable owner. Their outcome is unknown: a
   * reply whose head was already sent is aborted, any other gets {@link ProblemCode#OWNER_CHANGED}.
   */
  void handleOwnerLost(VmId owner) {
    List<Key> lost =
        pendingReplies.keySet().stream().filter(key -> key.owner().equals(owner)).toList();
    for (Key key : lost) {
      PendingReply pendingReply = pendingReplies.remove(key);
      if (pendingReply.headSent) {
        pendingReply.sink.context().runOnContext(run -> pendingReply.sink.abort());
      } else {
        replyProblem(pendingReply.sink, ProblemCode.OWNER_CHANGED, "the owner was lost");
      }
    }
  }

  private void cancel(Key key) {
    if (pendingReplies.remove(key) != null) {
      links.send(key.owner(), new PeerMessage.ProgramCancel(key.call()));
    }
  }

  private void sendCredit(Key key, int bytes) {
    context.runOnContext(
        run -> {
          if (pendingReplies.containsKey(key)) {
            links.send(key.owner(), new PeerMessage.ProgramCredit(key.call(), bytes));
          }
        });
  }

  private static void replyProblem(ReplySink sink, ProblemCode code, String detail) {
    sink.context()
        .runOnContext(run -> Replies.sendProblem(sink, new Problem(code, detail, RETRY_AFTER_MS)));
  }
}
