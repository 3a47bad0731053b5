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

/** Blocking HTTP client that sends requests to one server and waits for each response. */
final class ApiClient implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 5_000;
  private static final String OUTCOME_HEADER = "Magnoliaroute-Outcome";

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
  private final HttpClient client;
  private final URI serverUri;
  private final String token;
  private final long timeoutMs;

  ApiClient(URI server, String token, long timeoutMs) {
    this.serverUri = server;
    this.token = token;
    this.timeoutMs = timeoutMs;
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
  }

  /** Encodes the text as one path segment, including the slash that a branch name contains. */
  static String encodePathSegment(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /**
   * Sends a request and waits for the complete response.
   *
   * @throws CommandException if the connection fails or the response is lost
   */
  ApiResponse execute(HttpMethod method, String path, Optional<JsonObject> body)
      throws CommandException {
    HttpClientRequest request = connect(method, path);
    return awaitResponse(
        method,
        runOnEventLoop(
            () ->
                send(request, body, Map.of())
                    .compose(
                        response ->
                            readBody(response).map(buffer -> decodeResponse(response, buffer)))));
  }

  /**
   * Sends a POST request and reads its response as a stream of server-sent events.
   *
   * @param onEvent receives the data of each event on the event loop thread
   * @return the last event with an outcome, or the whole response if it is not an event stream
   * @throws CommandException if the connection fails or the stream ends without an outcome
   */
  ApiResponse executeStreaming(
      String path, JsonObject body, Map<String, String> headers, Consumer<JsonObject> onEvent)
      throws CommandException {
    HttpClientRequest request = connect(HttpMethod.POST, path);
    return awaitResponse(
        HttpMethod.POST,
        runOnEventLoop(
            () ->
                send(request, Optional.of(body), headers)
                    .compose(
                        response ->
                            isEventStream(response)
                                ? new EventStreamReader(response, onEvent).result()
                                : readBody(response)
                                    .map(buffer -> decodeResponse(response, buffer)))));
  }

  // Runs the exchange on the event loop: a handler that is set on another thread can miss response
  // data that has already been delivered.
  private Future<ApiResponse> runOnEventLoop(Supplier<Future<ApiResponse>> exchange) {
    Promise<ApiResponse> promise = Promise.promise();
    vertx.runOnContext(run -> exchange.get().onComplete(promise));
    return promise.future();
  }

  private static boolean isEventStream(HttpClientResponse response) {
    String type = response.getHeader("Content-Type");
    return type != null && type.startsWith("text/event-stream");
  }

  private HttpClientRequest connect(HttpMethod method, String path) throws CommandException {
    boolean tls = "https".equals(serverUri.getScheme());
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(serverUri.getHost())
            .setPort(serverUri.getPort() > 0 ? serverUri.getPort() : tls ? 443 : 80)
            .setSsl(tls)
            .setURI(path);
    try {
      return toFuture(client.request(options))
          .get(CONNECT_TIMEOUT_MS + timeoutMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new CommandException(ExitCode.UNREACHABLE, "cannot connect to " + serverUri);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCode.UNREACHABLE, "interrupted while connecting");
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

  /**
   * Reads the body. Resets the request if the body exceeds {@link #MAX_BODY_BYTES}, which is more
   * than any response of the server.
   */
  private static Future<Buffer> readBody(HttpClientResponse response) {
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          if (body.length() + chunk.length() <= MAX_BODY_BYTES) {
            body.appendBuffer(chunk);
          } else {
            response.request().reset();
          }
        });
    return response.end().map(ended -> body);
  }

  private static ApiResponse decodeResponse(HttpClientResponse response, Buffer buffer) {
    JsonObject body;
    try {
      body = buffer.length() == 0 ? new JsonObject() : new JsonObject(buffer);
    } catch (DecodeException e) {
      body = new JsonObject().put("detail", "the response body is not valid JSON");
    }
    return ApiResponse.of(response.statusCode(), response.getHeader(OUTCOME_HEADER), body);
  }

  /**
   * Waits for a response. If the response to a request other than GET is lost, the change may have
   * been made, so the command fails with {@link ExitCode#UNKNOWN}.
   */
  private ApiResponse awaitResponse(HttpMethod method, Future<ApiResponse> response)
      throws CommandException {
    ExitCode exitCode = method.equals(HttpMethod.GET) ? ExitCode.UNREACHABLE : ExitCode.UNKNOWN;
    try {
      return toFuture(response).get();
    } catch (ExecutionException e) {
      throw new CommandException(exitCode, "no complete response from " + serverUri);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(
          exitCode, "interrupted while waiting for a response from " + serverUri);
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
      // The process exits next, which releases all remaining resources.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
