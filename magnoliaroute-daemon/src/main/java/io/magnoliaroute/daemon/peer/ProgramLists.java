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
final class ProgramLists {

  private final VmId self;
  private final Forwards forwards;
  private final RequestHandler local;

  ProgramLists(VmId self, Forwards forwardedRequests, RequestHandler localHandler) {
    this.self = self;
    this.forwards = forwardedRequests;
    this.local = localHandler;
  }

  void collect(List<VmId> owners, CallerRequest request, ReplySink sink) {
    Collection merger = new Collection(sink, Math.max(1, owners.size()));
    if (owners.isEmpty()) {
      local.handle(request, new Part(merger));
      return;
    }
    for (VmId owner : owners) {
      Part part = new Part(merger);
      if (owner.equals(self)) {
        local.handle(request, part);
      } else {
        CallId call = new CallId(new ProgramId(owner.value()), 0, request.call().attempt());
        forwards.forward(
            owner,
            new CallerRequest(
                call,
                request.kind(),
                request.team(),
                request.forwards(),
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
  private static final class Collection {
    private final ReplySink sink;
    private final JsonArray programs = new JsonArray();
    private int missing;
    private int unreachable;

    Collection(ReplySink sink, int remainingParts) {
      this.sink = sink;
      this.missing = remainingParts;
    }

    void add(Buffer body) {
      try {
        JsonArray part = body.toJsonObject().getJsonArray("programs");
        if (part == null) {
          unreachable++;
        } else {
          part.forEach(programs::add);
        }
      } catch (DecodeException e) {
        unreachable++;
      }
      missing--;
      if (missing == 0) {
        Replies.done(
            sink,
            200,
            new JsonObject().put("programs", programs).put("unreachable_vms", unreachable));
      }
    }
  }

  /** Buffers the partial list of one VM. */
  private static final class Part implements ReplySink {
    private final Collection collection;
    private final Buffer body = Buffer.buffer();

    Part(Collection merger) {
      this.collection = merger;
    }

    @Override
    public Context context() {
      return collection.sink.context();
    }

    @Override
    public void head(int status, Map<String, String> headers) {
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
      collection.add(body);
    }

    @Override
    public void abort() {
      collection.add(Buffer.buffer());
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
