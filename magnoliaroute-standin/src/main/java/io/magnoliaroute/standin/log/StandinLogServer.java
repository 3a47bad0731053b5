package io.magnoliaroute.standin.log;

import io.magnoliaroute.core.log.LogEntry;
import io.magnoliaroute.core.log.LogException;
import io.magnoliaroute.core.log.LogPage;
import io.magnoliaroute.core.log.LogPort;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.standin.StandinServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletionException;

/** Serves a log over HTTP, so that several daemons can share it. */
public final class StandinLogServer {

  private static final int UNAVAILABLE = 503;
  private static final int TIMED_OUT = 504;
  private static final int OFFSET_EXPIRED = 410;

  private final LogPort log;

  private StandinLogServer(LogPort log) {
    this.log = log;
  }

  /** Starts a server for the log on a loopback port. */
  public static Future<StandinServer> start(Vertx vertx, LogPort log) {
    StandinLogServer server = new StandinLogServer(log);
    Router router = Router.router(vertx);
    router.post("/streams/:stream/records").handler(BodyHandler.create(false));
    router.post("/streams/:stream/records").handler(server::append);
    router.get("/streams/:stream/records").handler(server::read);
    return StandinServer.listen(vertx, router);
  }

  private void append(RoutingContext context) {
    List<Bytes> records = new ArrayList<>();
    for (Object encoded : context.body().asJsonObject().getJsonArray("records")) {
      records.add(Bytes.copyOf(Base64.getDecoder().decode((String) encoded)));
    }
    Future.fromCompletionStage(log.append(context.pathParam("stream"), records))
        .onSuccess(first -> respond(context, new JsonObject().put("first_offset", first)))
        .onFailure(failure -> respondWithFailure(context, failure));
  }

  private void read(RoutingContext context) {
    long from = Long.parseLong(context.request().getParam("from", "0"));
    int max = Integer.parseInt(context.request().getParam("max", "1000"));
    Future.fromCompletionStage(log.read(context.pathParam("stream"), from, max))
        .onSuccess(page -> respond(context, encode(page)))
        .onFailure(failure -> respondWithFailure(context, failure));
  }

  private static JsonObject encode(LogPage page) {
    JsonArray entries = new JsonArray();
    for (LogEntry entry : page.entries()) {
      entries.add(
          new JsonObject()
              .put("offset", entry.offset())
              .put("payload", Base64.getEncoder().encodeToString(entry.payload().toArray())));
    }
    return new JsonObject()
        .put("entries", entries)
        .put("next_offset", page.nextOffset())
        .put("first_retained_offset", page.firstRetainedOffset());
  }

  private static void respond(RoutingContext context, JsonObject body) {
    Buffer encoded = body.toBuffer();
    context.response().putHeader("Content-Type", "application/json").end(encoded);
  }

  private static void respondWithFailure(RoutingContext context, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    int status = cause instanceof LogException logFailure ? statusOf(logFailure.kind()) : 500;
    context.response().setStatusCode(status).end(String.valueOf(cause.getMessage()));
  }

  private static int statusOf(LogException.Kind kind) {
    return switch (kind) {
      case UNAVAILABLE -> UNAVAILABLE;
      case TIMED_OUT -> TIMED_OUT;
      case OFFSET_EXPIRED -> OFFSET_EXPIRED;
    };
  }
}
