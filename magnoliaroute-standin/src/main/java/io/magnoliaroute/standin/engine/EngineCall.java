package io.magnoliaroute.standin.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/** One generation: sends its tokens at the engine's pace, as events or as one body. */
final class EngineCall {

  private static final long HUGE_INTERVAL_MS = 3_600_000;

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
  private boolean begun;
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
    int count = request.getInteger("max_tokens", options.answerTokens());
    this.tokens = EngineText.tokens(messages, Math.min(count, options.answerTokens()));
    this.resumedTokens =
        Math.min(tokens.size(), EngineText.countTokens(request.getString("resume_text", "")));
    this.sent = resumedTokens;
    String named = context.request().getHeader("Magnoliaroute-Call");
    this.id = named == null ? UUID.randomUUID().toString() : named;
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

  /** Returns the tokens of the prompt, once it began, and of the answer so far. */
  int spentTokens() {
    return begun ? EngineText.countTokens(messages) + sent - resumedTokens : 0;
  }

  void begin(int cached) {
    if (ended) {
      return;
    }
    begun = true;
    cachedTokens = cached;
    if (faults.hung()) {
      return;
    }
    if (stream) {
      context.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    }
    step();
  }

  /** Ends the call; the engine's slot becomes free. */
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

  private void step() {
    if (ended) {
      return;
    }
    long interval = (long) (options.tokenIntervalMs() * faults.slowdown());
    if (interval > 0) {
      vertx.setTimer(Math.min(interval, HUGE_INTERVAL_MS), timer -> sendOneThenStep());
      return;
    }
    sendWhileWritable();
  }

  private void sendOneThenStep() {
    if (ended) {
      return;
    }
    if (sent < tokens.size()) {
      sendToken();
      step();
      return;
    }
    finish();
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
      finish();
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
    event(body("chat.completion.chunk", choice));
  }

  private void finish() {
    if (faults.takeLostAnswer()) {
      cancel();
      return;
    }
    if (stream) {
      finishStream();
    } else {
      finishPlain();
    }
    end();
  }

  private void finishStream() {
    JsonObject choice =
        new JsonObject()
            .put("index", 0)
            .put("delta", new JsonObject())
            .put("finish_reason", "stop");
    event(body("chat.completion.chunk", choice).put("usage", usage()));
    context.response().end("data: [DONE]\n\n");
  }

  private void finishPlain() {
    JsonObject message =
        new JsonObject().put("role", "assistant").put("content", String.join("", tokens));
    JsonObject choice =
        new JsonObject().put("index", 0).put("message", message).put("finish_reason", "stop");
    context
        .response()
        .putHeader("Content-Type", "application/json")
        .end(body("chat.completion", choice).put("usage", usage()).toBuffer());
  }

  private void event(JsonObject data) {
    context.response().write("data: " + data.encode() + "\n\n");
  }

  private JsonObject body(String object, JsonObject choice) {
    return new JsonObject()
        .put("id", "chatcmpl-" + id)
        .put("object", object)
        .put("model", options.model())
        .put("choices", new JsonArray().add(choice));
  }

  private JsonObject usage() {
    int prompt = EngineText.countTokens(messages);
    return new JsonObject()
        .put("prompt_tokens", prompt)
        .put("completion_tokens", tokens.size() - resumedTokens)
        .put("total_tokens", prompt + tokens.size() - resumedTokens)
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
