package io.magnoliaroute.cli;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Sends requests to one server and waits for the answers. */
final class ApiClient implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 5_000;
  private static final String OUTCOME_HEADER = "Magnoliaroute-Outcome";

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
  private final HttpClient client;
  private final URI server;
  private final String token;
  private final long timeoutMs;

  ApiClient(URI server, String token, long timeoutMs) {
    this.server = server;
    this.token = token;
    this.timeoutMs = timeoutMs;
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
  }

  /** Returns the text as one segment of a path; a branch name contains a slash. */
  static String segment(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  ApiReply call(HttpMethod method, String path, Optional<JsonObject> body) throws CommandFailure {
    HttpClientRequest request = connect(method, path);
    return await(
        method,
        onEventLoop(
            () ->
                send(request, body, Map.of())
                    .compose(
                        response -> bounded(response).map(buffer -> reply(response, buffer)))));
  }

  /**
   * Sends a request whose answer is a stream of events.
   *
   * @param onEvent takes the data of each event, on the client's thread
   * @return the last event that has an outcome, or the problem
   */
  ApiReply stream(
      String path, JsonObject body, Map<String, String> headers, Consumer<JsonObject> onEvent)
      throws CommandFailure {
    HttpClientRequest request = connect(HttpMethod.POST, path);
    return await(
        HttpMethod.POST,
        onEventLoop(
            () ->
                send(request, Optional.of(body), headers)
                    .compose(
                        response ->
                            isEventStream(response)
                                ? new EventReader(response, onEvent).result()
                                : bounded(response).map(buffer -> reply(response, buffer)))));
  }

  // An answer that is asked for on another thread may have passed by.
  private Future<ApiReply> onEventLoop(Supplier<Future<ApiReply>> exchange) {
    Promise<ApiReply> reply = Promise.promise();
    vertx.runOnContext(run -> exchange.get().onComplete(reply));
    return reply.future();
  }

  private static boolean isEventStream(HttpClientResponse response) {
    String type = response.getHeader("Content-Type");
    return type != null && type.startsWith("text/event-stream");
  }

  private HttpClientRequest connect(HttpMethod method, String path) throws CommandFailure {
    boolean tls = "https".equals(server.getScheme());
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(server.getHost())
            .setPort(server.getPort() > 0 ? server.getPort() : tls ? 443 : 80)
            .setSsl(tls)
            .setURI(path);
    try {
      return toFuture(client.request(options))
          .get(CONNECT_TIMEOUT_MS + timeoutMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new CommandFailure(ExitCode.UNREACHABLE, "cannot connect to " + server);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandFailure(ExitCode.UNREACHABLE, "interrupted while connecting");
    }
  }

  private Future<HttpClientResponse> send(
      HttpClientRequest request, Optional<JsonObject> body, Map<String, String> headers) {
    request.putHeader("Authorization", "Bearer " + token);
    headers.forEach(request::putHeader);
    request.idleTimeout(timeoutMs);
    if (body.isEmpty()) {
      return request.send();
    }
    request.putHeader("Content-Type", "application/json");
    return request.send(body.get().toBuffer());
  }

  /** Returns the body, or a failure where it is longer than any answer of the server. */
  private static Future<Buffer> bounded(HttpClientResponse response) {
    Buffer whole = Buffer.buffer();
    response.handler(
        part -> {
          if (whole.length() + part.length() <= MAX_BODY_BYTES) {
            whole.appendBuffer(part);
          } else {
            response.request().reset();
          }
        });
    return response.end().map(ended -> whole);
  }

  private static ApiReply reply(HttpClientResponse response, Buffer buffer) {
    JsonObject body;
    try {
      body = buffer.length() == 0 ? new JsonObject() : new JsonObject(buffer);
    } catch (DecodeException e) {
      body = new JsonObject().put("detail", "the answer is not JSON");
    }
    return ApiReply.of(response.statusCode(), response.getHeader(OUTCOME_HEADER), body);
  }

  /**
   * Waits for an answer. Once a request was sent and its answer is lost, a change may have been
   * made.
   */
  private ApiReply await(HttpMethod method, Future<ApiReply> answer) throws CommandFailure {
    ExitCode lost = method.equals(HttpMethod.GET) ? ExitCode.UNREACHABLE : ExitCode.UNKNOWN;
    try {
      return toFuture(answer).get();
    } catch (ExecutionException e) {
      throw new CommandFailure(lost, "no complete answer from " + server);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandFailure(lost, "interrupted while waiting for " + server);
    }
  }

  private static <T> CompletableFuture<T> toFuture(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture();
  }

  @Override
  public void close() {
    try {
      toFuture(vertx.close()).get(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      // The process ends next; there is nothing left to release.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
