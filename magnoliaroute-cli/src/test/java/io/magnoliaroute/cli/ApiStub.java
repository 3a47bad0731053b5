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

/** A server on an ephemeral port of the loopback that answers as a test says. */
final class ApiStub implements AutoCloseable {

  /** Answers one request. */
  interface Answer {
    void to(HttpServerRequest request, Buffer body);
  }

  /** A request as it arrived; the path is still encoded. */
  record Seen(String method, String path, String authorization, String turn, Buffer body) {
    JsonObject json() {
      return body.toJsonObject();
    }
  }

  private final Vertx vertx = Vertx.vertx();
  private final HttpServer server;
  private final List<Seen> seen = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Answer> answers = new HashMap<>();

  ApiStub() {
    server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.body().onSuccess(body -> answer(request, body)))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  private void answer(HttpServerRequest request, Buffer body) {
    String key = request.method() + " " + request.path();
    seen.add(
        new Seen(
            request.method().name(),
            request.path(),
            request.getHeader("Authorization"),
            request.getHeader("Magnoliaroute-Turn"),
            body));
    answers
        .getOrDefault(key, json(404, "not_run", new JsonObject().put("code", "unknown_path")))
        .to(request, body);
  }

  ApiStub on(String methodAndPath, Answer answer) {
    answers.put(methodAndPath, answer);
    return this;
  }

  static Answer json(int status, String outcome, JsonObject body) {
    return (request, ignored) ->
        request
            .response()
            .setStatusCode(status)
            .putHeader("Magnoliaroute-Outcome", outcome)
            .end(body.copy().put("outcome", outcome).toBuffer());
  }

  static Answer events(String... events) {
    return (request, ignored) -> {
      request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
      for (String event : events) {
        request.response().write("data: " + event + "\n\n");
      }
      request.response().end();
    };
  }

  /** Closes the connection after the request arrived. */
  static Answer lost() {
    return (request, ignored) -> request.connection().close();
  }

  String url() {
    return "http://127.0.0.1:" + server.actualPort();
  }

  List<Seen> seen() {
    return List.copyOf(seen);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
