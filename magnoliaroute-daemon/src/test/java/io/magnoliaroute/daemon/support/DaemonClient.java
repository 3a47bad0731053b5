package io.magnoliaroute.daemon.support;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client of one daemon; methods without the suffix Async block until the response. */
public final class DaemonClient {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient HTTP_CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final int port;
  private final String token;

  /**
   * A response with its unparsed body.
   *
   * @param status the status code; 0 if the connection was lost
   * @param outcome the Magnoliaroute-Outcome header, or "missing"
   * @param retryAfter the Retry-After header; empty if absent
   */
  public record Response(int status, String outcome, String body, String retryAfter) {

    /** Returns the body as JSON. */
    public JsonObject bodyAsJson() {
      return new JsonObject(body);
    }

    /** Returns the code of the problem document in the body. */
    public String problemCode() {
      return bodyAsJson().getString("code");
    }
  }

  /** Creates a client that sends the bearer token to the daemon at the loopback port. */
  public DaemonClient(int port, String token) {
    this.port = port;
    this.token = token;
  }

  /** Starts a program and returns its id. */
  public String startProgram() {
    return post("/v1/programs", new JsonObject()).bodyAsJson().getString("program");
  }

  /** Runs a turn that continues the stored history. */
  public Response runTurn(String program, String text, boolean stream) {
    return send(turnRequest(program, text, stream, -1));
  }

  /** Runs the turn with the given number. */
  public Response runTurn(String program, String text, boolean stream, int number) {
    return send(turnRequest(program, text, stream, number));
  }

  /** Starts a streamed turn without waiting for its response. */
  public CompletableFuture<Response> runTurnAsync(String program, String text, int number) {
    return HTTP_CLIENT
        .sendAsync(turnRequest(program, text, true, number), HttpResponse.BodyHandlers.ofString())
        .thenApply(DaemonClient::toResponse);
  }

  /** Executes an operation of the orders service. */
  public Response executeAction(String program, String operation, String key, long deadlineMs) {
    return send(actionRequest(program, operation, key, deadlineMs));
  }

  /** Starts an operation of the orders service without waiting for its response. */
  public CompletableFuture<Response> executeActionAsync(
      String program, String operation, String key, long deadlineMs) {
    return HTTP_CLIENT
        .sendAsync(
            actionRequest(program, operation, key, deadlineMs),
            HttpResponse.BodyHandlers.ofString())
        .thenApply(DaemonClient::toResponse);
  }

  /** Sends a POST request. */
  public Response post(String path, JsonObject body) {
    return send(newRequest(path).POST(bodyPublisher(body)).build());
  }

  /** Sends a GET request. */
  public Response get(String path) {
    return send(newRequest(path).GET().build());
  }

  /** Sends a POST request with an additional header. */
  public Response post(String path, JsonObject body, String header, String value) {
    return send(newRequest(path).header(header, value).POST(bodyPublisher(body)).build());
  }

  private HttpRequest turnRequest(String program, String text, boolean stream, int number) {
    JsonObject message = new JsonObject().put("role", "user").put("content", text);
    JsonObject body =
        new JsonObject()
            .put("model", DaemonTestEnvironment.MODEL)
            .put("max_tokens", DaemonTestEnvironment.COMPLETION_TOKENS)
            .put("stream", stream)
            .put("messages", new JsonArray().add(message));
    HttpRequest.Builder request =
        newRequest("/v1/chat/completions")
            .header("Magnoliaroute-Program", program)
            .header("Magnoliaroute-History", "continue");
    if (number >= 0) {
      request.header("Magnoliaroute-Turn", String.valueOf(number));
    }
    return request.POST(bodyPublisher(body)).build();
  }

  private HttpRequest actionRequest(String program, String operation, String key, long deadlineMs) {
    JsonObject body =
        new JsonObject()
            .put("service", "orders")
            .put("operation", operation)
            .put("deadline_ms", deadlineMs)
            .put("arguments", new JsonObject().put("amount", 5));
    if (key != null) {
      body.put("idempotency_key", key);
    }
    return newRequest("/v1/programs/" + program + "/actions").POST(bodyPublisher(body)).build();
  }

  private HttpRequest.Builder newRequest(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(REQUEST_TIMEOUT)
        .header("Authorization", "Bearer " + token);
  }

  private static HttpRequest.BodyPublisher bodyPublisher(JsonObject body) {
    return HttpRequest.BodyPublishers.ofString(body.encode());
  }

  private static Response send(HttpRequest request) {
    try {
      return toResponse(HTTP_CLIENT.send(request, HttpResponse.BodyHandlers.ofString()));
    } catch (IOException e) {
      return new Response(0, "connection_lost", "{}", "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted while waiting for a response", e);
    }
  }

  private static Response toResponse(HttpResponse<String> response) {
    return new Response(
        response.statusCode(),
        response.headers().firstValue("Magnoliaroute-Outcome").orElse("missing"),
        response.body(),
        response.headers().firstValue("Retry-After").orElse(""));
  }
}
