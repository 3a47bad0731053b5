package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.cache.ProgramStatus;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.daemon.request.CallerRequest;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ReplySink;
import io.magnoliaroute.daemon.request.RequestHandler;
import io.magnoliaroute.daemon.request.RequestKind;
import io.magnoliaroute.daemon.slot.ProgramStatusSource;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Queries the partition owner for the status of a program with the request that operators use. An
 * owner confirms its claim before it responds, so a program that it does not know ended long ago.
 */
public final class ProgramStatusClient implements ProgramStatusSource {

  private static final TeamId OPERATOR_TEAM = new TeamId("operators");
  private static final int ATTEMPT_BOUND = 1 << 20;

  private final Vertx vertx;
  private final RequestHandler handler;
  private final RandomGenerator random;

  /** Creates a client that passes its requests to the handler. */
  public ProgramStatusClient(Vertx vertx, RequestHandler handler, RandomGenerator random) {
    this.vertx = vertx;
    this.handler = handler;
    this.random = random;
  }

  @Override
  public Future<ProgramStatus> statusOf(ProgramId program) {
    CallerRequest request =
        new CallerRequest(
            new CallId(program, 0, random.nextInt(ATTEMPT_BOUND)),
            RequestKind.SHOW,
            OPERATOR_TEAM,
            0,
            Map.of(CallerRequest.Fields.OPERATOR, "true"),
            Bytes.ofUtf8(""));
    CollectingSink sink = new CollectingSink(vertx.getOrCreateContext());
    sink.context.runOnContext(ignored -> handler.handle(request, sink));
    return sink.body.future().compose(ProgramStatusClient::parseStatus);
  }

  private static Future<ProgramStatus> parseStatus(Buffer body) {
    try {
      JsonObject json = body.toJsonObject();
      String state = json.getString("state", "");
      boolean unknown = ProblemCode.UNKNOWN_PROGRAM.code().equals(json.getString("code"));
      if (unknown || state.equals("ended")) {
        return Future.succeededFuture(ProgramStatus.ENDED);
      }
      return state.equals("live")
          ? Future.succeededFuture(ProgramStatus.LIVE)
          : Future.failedFuture("no program state in the response: " + json.getString("code"));
    } catch (DecodeException e) {
      return Future.failedFuture(e);
    }
  }

  /** Collects the body of the reply. */
  private static final class CollectingSink implements ReplySink {

    private final Context context;
    private final Buffer received = Buffer.buffer();
    private final Promise<Buffer> body = Promise.promise();

    CollectingSink(Context context) {
      this.context = context;
    }

    @Override
    public Context context() {
      return context;
    }

    @Override
    public void writeHead(int status, Map<String, String> headers) {
      // The body alone determines the status.
    }

    @Override
    public void write(Buffer part) {
      received.appendBuffer(part);
    }

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    public void onDrain(Runnable action) {
      // The buffer is unbounded, so it never drains.
    }

    @Override
    public void end() {
      body.tryComplete(received);
    }

    @Override
    public void abort() {
      body.tryFail("the reply was aborted before its end");
    }

    @Override
    public void onClose(Runnable action) {
      // The reader never closes.
    }

    @Override
    public boolean isClosed() {
      return false;
    }
  }
}
