package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.lifecycle.Readiness;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.request.RequestKind;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Context;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs the requests that other front ends forwarded to this VM. Used only on the event loop of the
 * peer connections, except for the count of running requests.
 */
final class ServedRequests {

  private static final long RETRY_AFTER_MS = 500;

  private record Key(VmId frontEnd, CallId call) {}

  private final Context context;
  private final PeerLinks links;
  private final RequestHandler handler;
  private final Readiness readiness;
  private final Map<Key, PeerReplySink> sinks = new ConcurrentHashMap<>();

  ServedRequests(Context context, PeerLinks links, RequestHandler handler, Readiness readiness) {
    this.context = context;
    this.links = links;
    this.handler = handler;
    this.readiness = readiness;
  }

  int runningCount() {
    return sinks.size();
  }

  void handleOpen(VmId from, PeerMessage.ProgramOpen open) {
    Key key = new Key(from, open.call());
    PeerReplySink sink =
        new PeerReplySink(context, links, from, open.call(), () -> sinks.remove(key));
    sinks.put(key, sink);
    RequestKind kind;
    try {
      kind = RequestKind.ofWireName(open.kind());
    } catch (IllegalArgumentException e) {
      Replies.sendProblem(sink, Problem.of(ProblemCode.INVALID_REQUEST, e.getMessage()));
      return;
    }
    if (kind.startsWork() && readiness.phase() == Readiness.Phase.STOPPING) {
      Replies.sendProblem(
          sink, new Problem(ProblemCode.STOPPING, "the owner is stopping", RETRY_AFTER_MS));
      return;
    }
    Map<String, String> fields = new HashMap<>();
    open.fields().forEach(field -> fields.put(field.name(), field.value()));
    handler.handle(
        new CallerRequest(open.call(), kind, open.team(), open.forwards(), fields, open.body()),
        sink);
  }

  void handleCancel(VmId from, CallId call) {
    PeerReplySink sink = sinks.get(new Key(from, call));
    if (sink != null) {
      sink.terminate();
    }
  }

  void handleCredit(VmId from, CallId call, int bytes) {
    PeerReplySink sink = sinks.get(new Key(from, call));
    if (sink != null) {
      sink.addCredit(bytes);
    }
  }

  /** Cancels all requests of a front end that disconnected. */
  void cancelRequestsOf(VmId frontEnd) {
    List<PeerReplySink> orphaned =
        sinks.values().stream().filter(sink -> sink.frontEnd().equals(frontEnd)).toList();
    orphaned.forEach(PeerReplySink::terminate);
  }
}
