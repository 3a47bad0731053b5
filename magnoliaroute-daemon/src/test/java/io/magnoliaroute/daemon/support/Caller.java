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

/** A caller of one daemon. */
public final class Caller {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final int port;
  private final String token;

  /** A reply with its body as it came. */
  public record Reply(int status, String outcome, String text, String retryAfter) {

    /** Returns the body as JSON. */
    public JsonObject json() {
      return new JsonObject(text);
    }

    /** Returns the code of a problem document. */
    public String code() {
      return json().getString("code");
    }
  }

  /** Makes a caller with the token. */
  public Caller(int port, String token) {
    this.port = port;
    this.token = token;
  }

  /** Starts a program and returns its id. */
  public String startProgram() {
    return post("/v1/programs", new JsonObject()).json().getString("program");
  }

  /** Runs a turn that continues the stored history. */
  public Reply turn(String program, String text, boolean stream) {
    return send(turnRequest(program, text, stream, -1));
  }

  /** Runs the turn of the number. */
  public Reply turn(String program, String text, boolean stream, int number) {
    return send(turnRequest(program, text, stream, number));
  }

  /** Runs a turn without waiting for its end. */
  public CompletableFuture<Reply> turnLater(String program, String text, int number) {
    return HTTP.sendAsync(
            turnRequest(program, text, true, number), HttpResponse.BodyHandlers.ofString())
        .thenApply(Caller::reply);
  }

  /** Runs an action of the orders service. */
  public Reply action(String program, String operation, String key, long deadlineMs) {
    return send(actionRequest(program, operation, key, deadlineMs));
  }

  /** Runs an action without waiting for its end. */
  public CompletableFuture<Reply> actionLater(
      String program, String operation, String key, long deadlineMs) {
    return HTTP.sendAsync(
            actionRequest(program, operation, key, deadlineMs),
            HttpResponse.BodyHandlers.ofString())
        .thenApply(Caller::reply);
  }

  /** Sends a POST. */
  public Reply post(String path, JsonObject body) {
    return send(request(path).POST(body(body)).build());
  }

  /** Sends a GET. */
  public Reply get(String path) {
    return send(request(path).GET().build());
  }

  /** Sends a POST with a further header. */
  public Reply post(String path, JsonObject body, String header, String value) {
    return send(request(path).header(header, value).POST(body(body)).build());
  }

  private HttpRequest turnRequest(String program, String text, boolean stream, int number) {
    JsonObject message = new JsonObject().put("role", "user").put("content", text);
    JsonObject body =
        new JsonObject()
            .put("model", TestWorld.MODEL)
            .put("max_tokens", TestWorld.ANSWER_TOKENS)
            .put("stream", stream)
            .put("messages", new JsonArray().add(message));
    HttpRequest.Builder request =
        request("/v1/chat/completions")
            .header("Magnoliaroute-Program", program)
            .header("Magnoliaroute-History", "continue");
    if (number >= 0) {
      request.header("Magnoliaroute-Turn", String.valueOf(number));
    }
    return request.POST(body(body)).build();
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
    return request("/v1/programs/" + program + "/actions").POST(body(body)).build();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + token);
  }

  private static HttpRequest.BodyPublisher body(JsonObject body) {
    return HttpRequest.BodyPublishers.ofString(body.encode());
  }

  private static Reply send(HttpRequest request) {
    try {
      return reply(HTTP.send(request, HttpResponse.BodyHandlers.ofString()));
    } catch (IOException e) {
      return new Reply(0, "connection_lost", "{}", "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  private static Reply reply(HttpResponse<String> response) {
    return new Reply(
        response.statusCode(),
        response.headers().firstValue("Magnoliaroute-Outcome").orElse("missing"),
        response.body(),
        response.headers().firstValue("Retry-After").orElse(""));
  }
}
