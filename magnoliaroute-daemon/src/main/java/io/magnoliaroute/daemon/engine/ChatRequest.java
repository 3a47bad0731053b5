package io.magnoliaroute.daemon.engine;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.daemon.request.Problem;
import io.magnoliaroute.daemon.request.ProblemCode;
import io.magnoliaroute.daemon.request.ProblemException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A request in the chat-completions shape.
 *
 * @param body the whole body as the caller sent it
 * @param model the model
 * @param messages the messages of this request
 * @param stream whether the caller wants server-sent events
 * @param maxTokens the most tokens of the answer
 */
public record ChatRequest(
    JsonObject body, String model, JsonArray messages, boolean stream, int maxTokens) {

  /** Tokens of an answer when the caller sets no bound; needed to reserve budget. */
  public static final int DEFAULT_MAX_TOKENS = 4_096;

  private static final int CHARS_PER_TOKEN = 4;
  private static final int TEMPLATE_TOKENS = 16;

  /** Returns the request of the body. */
  public static ChatRequest parse(Bytes body) throws ProblemException {
    try {
      JsonObject json = Buffer.buffer(body.toArray()).toJsonObject();
      JsonArray messages = json.getJsonArray("messages");
      String model = json.getString("model", "");
      if (messages == null || messages.isEmpty() || model.isEmpty()) {
        throw invalid("model and messages are required");
      }
      for (int i = 0; i < messages.size(); i++) {
        if (!(messages.getValue(i) instanceof JsonObject message)
            || !(message.getValue("role") instanceof String)) {
          throw invalid("messages[" + i + "] must be an object with a role");
        }
      }
      if (json.getInteger("n", 1) != 1) {
        throw invalid("n must be 1, was " + json.getInteger("n"));
      }
      int maxTokens =
          json.getInteger(
              "max_completion_tokens", json.getInteger("max_tokens", DEFAULT_MAX_TOKENS));
      if (maxTokens < 1) {
        throw invalid("max_tokens must be positive, was " + maxTokens);
      }
      return new ChatRequest(json, model, messages, json.getBoolean("stream", false), maxTokens);
    } catch (DecodeException | ClassCastException e) {
      throw invalid("the body is not a chat-completions request: " + e.getMessage());
    }
  }

  /** Returns an estimate of the tokens of the messages, which counts high rather than low. */
  public static int estimateTokens(JsonArray messages) {
    long chars = 0;
    for (Object message : messages) {
      Object content = ((JsonObject) message).getValue("content");
      chars += content == null ? 0 : String.valueOf(content).length();
    }
    return (int) Math.min(Integer.MAX_VALUE, chars / CHARS_PER_TOKEN + messages.size());
  }

  /**
   * Returns a bound on the prompt tokens that do not come from message contents: tools and other
   * fields of the body, and what a chat template adds to each message.
   */
  public long overheadTokens() {
    JsonObject other = body.copy();
    other.remove("messages");
    return other.toBuffer().length() + (long) TEMPLATE_TOKENS * (messages.size() + 2);
  }

  /** Returns the body for the engine: the whole conversation, always as a stream with usage. */
  JsonObject engineBody(JsonArray conversation, String cacheKey, String resumeText) {
    JsonObject out = body.copy();
    out.put("messages", conversation);
    out.put("max_tokens", maxTokens);
    out.put("stream", true);
    out.put("stream_options", new JsonObject().put("include_usage", true));
    out.put("prompt_cache_key", cacheKey);
    if (!resumeText.isEmpty()) {
      out.put("resume_text", resumeText);
    }
    return out;
  }

  private static ProblemException invalid(String detail) {
    return Problem.of(ProblemCode.INVALID_REQUEST, detail).asException();
  }
}
