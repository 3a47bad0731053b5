package io.magnoliaroute.daemon.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Puts a streamed answer together. */
final class AnswerBuilder {

  private final StringBuilder content = new StringBuilder();
  private final JsonArray toolCalls = new JsonArray();
  private String id = "";
  private String finishReason;
  private JsonObject usage;
  private int tokens;

  /** Adds one event; returns whether it is part of the end of the answer. */
  boolean add(JsonObject event) {
    id = event.getString("id", id);
    JsonObject reported = event.getJsonObject("usage");
    usage = reported == null ? usage : reported;
    JsonArray choices = event.getJsonArray("choices");
    if (choices == null || choices.isEmpty()) {
      return reported != null;
    }
    JsonObject choice = choices.getJsonObject(0);
    addDelta(choice.getJsonObject("delta"));
    finishReason = choice.getString("finish_reason", finishReason);
    return finishReason != null;
  }

  int tokens() {
    return tokens;
  }

  String text() {
    return content.toString();
  }

  boolean isFinished() {
    return finishReason != null;
  }

  EngineAnswer build() {
    JsonObject message = new JsonObject().put("role", "assistant").put("content", text());
    if (!toolCalls.isEmpty()) {
      message.put("tool_calls", toolCalls);
    }
    JsonObject counted = usage == null ? new JsonObject() : usage;
    JsonObject details = counted.getJsonObject("prompt_tokens_details", new JsonObject());
    return new EngineAnswer(
        id,
        message,
        finishReason,
        counted.getInteger("prompt_tokens", 0),
        counted.getInteger("completion_tokens", tokens),
        details.getInteger("cached_tokens", 0));
  }

  private void addDelta(JsonObject delta) {
    if (delta == null) {
      return;
    }
    String text = delta.getString("content");
    if (text != null && !text.isEmpty()) {
      content.append(text);
      tokens++;
    }
    JsonArray calls = delta.getJsonArray("tool_calls");
    if (calls == null) {
      return;
    }
    tokens++;
    for (Object call : calls) {
      addToolCall((JsonObject) call);
    }
  }

  private void addToolCall(JsonObject delta) {
    int index = delta.getInteger("index", 0);
    while (toolCalls.size() <= index) {
      toolCalls.add(new JsonObject().put("function", new JsonObject().put("arguments", "")));
    }
    JsonObject held = toolCalls.getJsonObject(index);
    delta.forEach(
        field -> {
          if (!field.getKey().equals("function") && !field.getKey().equals("index")) {
            held.put(field.getKey(), field.getValue());
          }
        });
    JsonObject function = delta.getJsonObject("function", new JsonObject());
    JsonObject heldFunction = held.getJsonObject("function");
    if (function.containsKey("name")) {
      heldFunction.put("name", function.getString("name"));
    }
    String arguments = heldFunction.getString("arguments", "");
    heldFunction.put("arguments", arguments + function.getString("arguments", ""));
  }
}
