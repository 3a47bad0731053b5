package io.magnoliaroute.daemon.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Assembles the complete response of an engine from the events of its stream. */
final class ResponseBuilder {

  private final StringBuilder content = new StringBuilder();
  private final JsonArray toolCalls = new JsonArray();
  private String id = "";
  private String finishReason;
  private JsonObject usage;
  private int tokenCount;

  /**
   * Adds one event.
   *
   * @return whether the event is at the end of the response: it carries or follows the finish
   *     reason, or has token usage but no choices
   */
  boolean add(JsonObject event) {
    id = event.getString("id", id);
    JsonObject eventUsage = event.getJsonObject("usage");
    usage = eventUsage == null ? usage : eventUsage;
    JsonArray choices = event.getJsonArray("choices");
    if (choices == null || choices.isEmpty()) {
      return eventUsage != null;
    }
    JsonObject choice = choices.getJsonObject(0);
    addDelta(choice.getJsonObject("delta"));
    finishReason = choice.getString("finish_reason", finishReason);
    return finishReason != null;
  }

  int tokenCount() {
    return tokenCount;
  }

  String text() {
    return content.toString();
  }

  boolean hasFinishReason() {
    return finishReason != null;
  }

  EngineResponse build() {
    JsonObject message = new JsonObject().put("role", "assistant").put("content", text());
    if (!toolCalls.isEmpty()) {
      message.put("tool_calls", toolCalls);
    }
    JsonObject tokenUsage = usage == null ? new JsonObject() : usage;
    JsonObject promptDetails = tokenUsage.getJsonObject("prompt_tokens_details", new JsonObject());
    return new EngineResponse(
        id,
        message,
        finishReason,
        tokenUsage.getInteger("prompt_tokens", 0),
        tokenUsage.getInteger("completion_tokens", tokenCount),
        promptDetails.getInteger("cached_tokens", 0));
  }

  private void addDelta(JsonObject delta) {
    if (delta == null) {
      return;
    }
    String text = delta.getString("content");
    if (text != null && !text.isEmpty()) {
      content.append(text);
      tokenCount++;
    }
    JsonArray calls = delta.getJsonArray("tool_calls");
    if (calls == null) {
      return;
    }
    tokenCount++;
    for (Object call : calls) {
      addToolCall((JsonObject) call);
    }
  }

  private void addToolCall(JsonObject delta) {
    int index = delta.getInteger("index", 0);
    while (toolCalls.size() <= index) {
      toolCalls.add(new JsonObject().put("function", new JsonObject().put("arguments", "")));
    }
    JsonObject toolCall = toolCalls.getJsonObject(index);
    delta.forEach(
        field -> {
          if (!field.getKey().equals("function") && !field.getKey().equals("index")) {
            toolCall.put(field.getKey(), field.getValue());
          }
        });
    JsonObject functionDelta = delta.getJsonObject("function", new JsonObject());
    JsonObject toolFunction = toolCall.getJsonObject("function");
    if (functionDelta.containsKey("name")) {
      toolFunction.put("name", functionDelta.getString("name"));
    }
    String arguments = toolFunction.getString("arguments", "");
    toolFunction.put("arguments", arguments + functionDelta.getString("arguments", ""));
  }
}
