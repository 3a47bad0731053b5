package io.magnoliaroute.daemon.request;

import io.magnoliaroute.core.model.Outcome;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;

/** Writes complete replies to a {@link ReplySink}. */
public final class Replies {

  /** The header that carries the outcome. */
  public static final String OUTCOME_HEADER = "Magnoliaroute-Outcome";

  /** The media type of problem documents. */
  public static final String PROBLEM_TYPE = "application/problem+json";

  private static final String CONTENT_TYPE = "Content-Type";
  private static final String JSON_TYPE = "application/json";
  private static final int MS_PER_SECOND = 1_000;

  private Replies() {}

  /** Sends a JSON reply; the outcome is added to the header and to the body. */
  public static void sendJson(ReplySink sink, int status, Outcome outcome, JsonObject body) {
    Map<String, String> headers = new HashMap<>();
    headers.put(CONTENT_TYPE, JSON_TYPE);
    headers.put(OUTCOME_HEADER, outcome.wireName());
    sendComplete(sink, status, headers, body.put("outcome", outcome.wireName()).toBuffer());
  }

  /** Sends a JSON reply with the outcome {@link Outcome#DONE}. */
  public static void sendDone(ReplySink sink, int status, JsonObject body) {
    sendJson(sink, status, Outcome.DONE, body);
  }

  /** Sends a problem document. */
  public static void sendProblem(ReplySink sink, Problem problem) {
    sendProblem(sink, problem, new JsonObject());
  }

  /** Sends a problem document with additional fields. */
  public static void sendProblem(ReplySink sink, Problem problem, JsonObject additionalFields) {
    Map<String, String> headers = new HashMap<>();
    headers.put(CONTENT_TYPE, PROBLEM_TYPE);
    headers.put(OUTCOME_HEADER, problem.code().outcome().wireName());
    if (problem.retryAfterMs() > 0) {
      headers.put("Retry-After", String.valueOf(retryAfterSeconds(problem.retryAfterMs())));
    }
    JsonObject body = additionalFields.mergeIn(problemBody(problem));
    sendComplete(sink, problem.code().status(), headers, body.toBuffer());
  }

  /** Returns the body of the problem document. */
  public static JsonObject problemBody(Problem problem) {
    JsonObject body =
        new JsonObject()
            .put("type", "about:blank")
            .put("title", problem.code().code())
            .put("status", problem.code().status())
            .put("code", problem.code().code())
            .put("detail", problem.detail())
            .put("outcome", problem.code().outcome().wireName())
            .put("error", clientError(problem));
    if (problem.retryAfterMs() > 0) {
      body.put("retry_after_ms", problem.retryAfterMs());
    }
    return body;
  }

  // Clients of the chat-completions API show this object and ignore the rest of the body.
  private static JsonObject clientError(Problem problem) {
    return new JsonObject()
        .put("message", problem.detail())
        .put("type", problem.code().outcome().wireName())
        .put("param", null)
        .put("code", problem.code().code());
  }

  private static long retryAfterSeconds(long retryAfterMs) {
    return (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
  }

  private static void sendComplete(
      ReplySink sink, int status, Map<String, String> headers, Buffer body) {
    if (sink.isClosed()) {
      return;
    }
    headers.put("Content-Length", String.valueOf(body.length()));
    sink.writeHead(status, headers);
    sink.write(body);
    sink.end();
  }
}
