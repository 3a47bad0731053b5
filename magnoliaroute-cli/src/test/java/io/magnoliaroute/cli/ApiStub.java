package io.magnoliaroute.cli;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** HTTP server on an ephemeral loopback port with responses configured by the test. */
final class ApiStub implements AutoCloseable {

  /** Writes the response to one request. */
  interface ResponseHandler {
    void respond(HttpServerRequest request, Buffer body);
  }

  /** A request as received; the path is still percent-encoded. */
  record ReceivedRequest(
      String method, String path, String authorization, String turn, Buffer body) {
    JsonObject json() {
      return body.toJsonObject();
    }
  }

  private final Vertx vertx = Vertx.vertx();
  private final HttpServer server;
  private final List<ReceivedRequest> receivedRequests =
      Collections.synchronizedList(new ArrayList<>());
  private final Map<String, ResponseHandler> handlers = new HashMap<>();

  ApiStub() {
    server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  private void handle(HttpServerRequest request, Buffer body) {
    String key = request.method() + " " + request.path();
    receivedRequests.add(
        new ReceivedRequest(
            request.method().name(),
            request.path(),
            request.getHeader("Authorization"),
            request.getHeader("Magnoliaroute-Turn"),
            body));
    handlers
        .getOrDefault(
            key, jsonResponse(404, "not_run", new JsonObject().put("code", "unknown_path")))
        .respond(request, body);
  }

  ApiStub on(String methodAndPath, ResponseHandler handler) {
    handlers.put(methodAndPath, handler);
    return this;
  }

  static ResponseHandler jsonResponse(int status, String outcome, JsonObject body) {
    return (request, ignored) ->
        request
            .response()
            .setStatusCode(status)
            .putHeader("Magnoliaroute-Outcome", outcome)
            .end(body.copy().put("outcome", outcome).toBuffer());
  }

  static ResponseHandler eventStreamResponse(String... events) {
    return (request, ignored) -> {
      request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
      for (String event : events) {
        request.response().write("data: " + event + "\n\n");
      }
      request.response().end();
    };
  }

  /** Closes the connection after the request was received, without a response. */
  static ResponseHandler closedConnection() {
    return (request, ignored) -> request.connection().close();
  }

  String url() {
    return "http://127.0.0.1:" + server.actualPort();
  }

  List<ReceivedRequest> receivedRequests() {
    return List.copyOf(receivedRequests);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
