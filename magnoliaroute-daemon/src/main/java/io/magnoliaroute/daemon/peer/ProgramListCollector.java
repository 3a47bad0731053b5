package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.Replies;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;

/** Queries each owner for its programs and merges the replies into one list. */
final class ProgramListCollector {

  private final VmId self;
  private final ForwardedRequests forwardedRequests;
  private final RequestHandler localHandler;

  ProgramListCollector(
      VmId self, ForwardedRequests forwardedRequests, RequestHandler localHandler) {
    this.self = self;
    this.forwardedRequests = forwardedRequests;
    this.localHandler = localHandler;
  }

  void collect(List<VmId> owners, CallerRequest request, ReplySink sink) {
    ListMerger merger = new ListMerger(sink, Math.max(1, owners.size()));
    if (owners.isEmpty()) {
      localHandler.handle(request, new PartialListSink(merger));
      return;
    }
    for (VmId owner : owners) {
      PartialListSink part = new PartialListSink(merger);
      if (owner.equals(self)) {
        localHandler.handle(request, part);
      } else {
        CallId call = new CallId(new ProgramId(owner.value()), 0, request.call().attempt());
        forwardedRequests.forward(
            owner,
            new CallerRequest(
                call,
                request.kind(),
                request.team(),
                request.forwardCount(),
                request.fields(),
                request.body()),
            part);
      }
    }
  }

  /**
   * Merges the partial lists and replies when the last one is complete. Used only on the context of
   * the caller's sink.
   */
  private static final class ListMerger {
    private final ReplySink sink;
    private final JsonArray programs = new JsonArray();
    private int remainingParts;
    private int unreachableVms;

    ListMerger(ReplySink sink, int remainingParts) {
      this.sink = sink;
      this.remainingParts = remainingParts;
    }

    void add(Buffer body) {
      try {
        JsonArray part = body.toJsonObject().getJsonArray("programs");
        if (part == null) {
          unreachableVms++;
        } else {
          part.forEach(programs::add);
        }
      } catch (DecodeException e) {
        unreachableVms++;
      }
      remainingParts--;
      if (remainingParts == 0) {
        Replies.sendDone(
            sink,
            200,
            new JsonObject().put("programs", programs).put("unreachable_vms", unreachableVms));
      }
    }
  }

  /** Buffers the partial list of one VM. */
  private static final class PartialListSink implements ReplySink {
    private final ListMerger merger;
    private final Buffer body = Buffer.buffer();

    PartialListSink(ListMerger merger) {
      this.merger = merger;
    }

    @Override
    public Context context() {
      return merger.sink.context();
    }

    @Override
    public void writeHead(int status, Map<String, String> headers) {
      // The status is not needed: add() detects an error by the missing list in the body.
    }

    @Override
    public void write(Buffer part) {
      body.appendBuffer(part);
    }

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    public void onDrain(Runnable action) {
      action.run();
    }

    @Override
    public void end() {
      merger.add(body);
    }

    @Override
    public void abort() {
      merger.add(Buffer.buffer());
    }

    @Override
    public void onClose(Runnable action) {
      // Partial replies are always read to the end.
    }

    @Override
    public boolean isClosed() {
      return false;
    }
  }
}
