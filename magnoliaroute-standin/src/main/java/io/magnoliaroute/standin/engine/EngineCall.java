package io.magnoliaroute.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * A generation request. Sends its tokens at the rate of the engine, either as server-sent events or
 * as a single response body.
 */
final class EngineCall {

  private static final long MAX_TIMER_DELAY_MS = 3_600_000;

  private final Vertx vertx;
  private final RoutingContext context;
  private final EngineOptions options;
  private final EngineFaults faults;
  private final Runnable onEnd;
  private final String id;
  private final String cacheKey;
  private final boolean stream;
  private final List<String> messages;
  private final List<String> tokens;
  private final int resumedTokens;
  private int cachedTokens;
  private int sent;
  private boolean started;
  private boolean ended;

  EngineCall(
      Vertx vertx,
      RoutingContext context,
      EngineOptions options,
      EngineFaults faults,
      Runnable onEnd) {
    this.vertx = vertx;
    this.context = context;
    this.options = options;
    this.faults = faults;
    this.onEnd = onEnd;
    JsonObject request = context.body().asJsonObject();
    this.stream = request.getBoolean("stream", false);
    this.messages = messageTexts(request.getJsonArray("messages", new JsonArray()));
    int count = request.getInteger("max_tokens", options.responseTokens());
    this.tokens = EngineText.tokens(messages, Math.min(count, options.responseTokens()));
    this.resumedTokens =
        Math.min(tokens.size(), EngineText.countTokens(request.getString("resume_text", "")));
    this.sent = resumedTokens;
    String requestedId = context.request().getHeader("Magnoliaroute-Call");
    this.id = requestedId == null ? UUID.randomUUID().toString() : requestedId;
    this.cacheKey = request.getString("prompt_cache_key", id);
  }

  String id() {
    return id;
  }

  String cacheKey() {
    return cacheKey;
  }

  List<String> messages() {
    return messages;
  }

  String lastMessage() {
    return messages.isEmpty() ? "" : messages.get(messages.size() - 1);
  }

  int totalTokens() {
    return EngineText.countTokens(messages) + tokens.size();
  }

  /**
   * Returns the number of tokens processed so far: the prompt, if the call has started, and the
   * generated tokens.
   */
  int processedTokens() {
    return started ? EngineText.countTokens(messages) + sent - resumedTokens : 0;
  }

  void start(int reusedTokens) {
    if (ended) {
      return;
    }
    started = true;
    cachedTokens = reusedTokens;
    if (faults.hung()) {
      return;
    }
    if (stream) {
      context.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    sendNext();
  }

  /** Ends the call and frees its slot in the engine; has no effect on a call that has ended. */
  void end() {
    if (ended) {
      return;
    }
    ended = true;
    onEnd.run();
  }

  void cancel() {
    if (ended) {
      return;
    }
    end();
    context.request().connection().close();
  }

  private void sendNext() {
    if (ended) {
      return;
    }
    long intervalMs = (long) (options.tokenIntervalMs() * faults.slowdown());
    if (intervalMs > 0) {
      vertx.setTimer(Math.min(intervalMs, MAX_TIMER_DELAY_MS), timer -> sendTokenAndContinue());
      return;
    }
    sendWhileWritable();
  }

  private void sendTokenAndContinue() {
    if (ended) {
      return;
    }
    if (sent < tokens.size()) {
      sendToken();
      sendNext();
      return;
    }
    complete();
  }

  private void sendWhileWritable() {
    HttpServerResponse response = context.response();
    while (!ended && sent < tokens.size()) {
      sendToken();
      if (stream && response.writeQueueFull()) {
        response.drainHandler(drained -> sendWhileWritable());
        return;
      }
    }
    if (!ended) {
      complete();
    }
  }

  private void sendToken() {
    String token = tokens.get(sent++);
    if (!stream) {
      return;
    }
    JsonObject delta = new JsonObject().put("content", token);
    JsonObject choice =
        new JsonObject().put("index", 0).put("delta", delta).putNull("finish_reason");
    sendEvent(completionObject("chat.completion.chunk", choice));
  }

  private void complete() {
    if (faults.consumeLostResponse()) {
      cancel();
      return;
    }
    if (stream) {
      completeStream();
    } else {
      completeBody();
    }
    end();
  }

  private void completeStream() {
    JsonObject choice =
        new JsonObject()
            .put("index", 0)
            .put("delta", new JsonObject())
            .put("finish_reason", "stop");
    sendEvent(completionObject("chat.completion.chunk", choice).put("usage", usage()));
    context.response().end("data: [DONE]\n\n");
  }

  private void completeBody() {
    JsonObject message =
        new JsonObject().put("role", "assistant").put("content", String.join("", tokens));
    JsonObject choice =
        new JsonObject().put("index", 0).put("message", message).put("finish_reason", "stop");
    context
        .response()
        .putHeader("Content-Type", "application/json")
        .end(completionObject("chat.completion", choice).put("usage", usage()).toBuffer());
  }

  private void sendEvent(JsonObject data) {
    context.response().write("data: " + data.encode() + "\n\n");
  }

  private JsonObject completionObject(String object, JsonObject choice) {
    return new JsonObject()
        .put("id", "chatcmpl-" + id)
        .put("object", object)
        .put("model", options.model())
        .put("choices", new JsonArray().add(choice));
  }

  private JsonObject usage() {
    int promptTokens = EngineText.countTokens(messages);
    return new JsonObject()
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", tokens.size() - resumedTokens)
        .put("total_tokens", promptTokens + tokens.size() - resumedTokens)
        .put("prompt_tokens_details", new JsonObject().put("cached_tokens", cachedTokens));
  }

  private static List<String> messageTexts(JsonArray messages) {
    List<String> texts = new ArrayList<>(messages.size());
    for (Object message : messages) {
      texts.add(String.valueOf(((JsonObject) message).getValue("content")));
    }
    return texts;
  }
}
