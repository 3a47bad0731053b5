package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * An endpoint whose responses are small, large, streams without end or missing, depending on the
 * path.
 */
final class SizedEndpoint {

  static final String ID = "e1";
  static final String SMALL_PATH = "/safe/x";
  static final String LARGE_PATH = "/safe/large";
  static final String SILENT_PATH = "/unsafe/silent";
  static final String ENDLESS_PATH = "/plainstream/endless";

  private static final int LARGE_RESPONSE_BYTES = 2_000_000;
  private static final int EVENT_BYTES = 8_192;

  private final Vertx vertx;

  SizedEndpoint(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts listening and returns the endpoint's entry in the endpoint list. */
  Future<String> start() {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.body().onSuccess(body -> respond(request)))
        .listen(0, "127.0.0.1")
        .map(HttpServer::actualPort)
        .map(port -> StandinEndpoint.entryAt(port, StandinConfiguration.SERVICE, "ready", 1));
  }

  private static void respond(HttpServerRequest request) {
    HttpServerResponse response = request.response();
    String requestId = request.getHeader("X-Request-Id");
    if (requestId != null) {
      response.putHeader("X-Request-Id", requestId);
    }
    response.putHeader("X-Server-Seal", "seal").putHeader("X-Instance-Id", ID);
    switch (request.path()) {
      case LARGE_PATH -> response.end(Buffer.buffer(new byte[LARGE_RESPONSE_BYTES]));
      case ENDLESS_PATH -> {
        response.putHeader("Content-Type", "text/event-stream").setChunked(true);
        writeEvents(response, 1);
      }
      case SILENT_PATH -> {
        // The VM waits until the time-out of the route.
      }
      default -> response.end("small");
    }
  }

  private static void writeEvents(HttpServerResponse response, int number) {
    if (response.closed()) {
      return;
    }
    if (response.writeQueueFull()) {
      response.drainHandler(drained -> writeEvents(response, number));
      return;
    }
    response
        .write("id: " + number + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n")
        .onSuccess(written -> writeEvents(response, number + 1));
  }
}
