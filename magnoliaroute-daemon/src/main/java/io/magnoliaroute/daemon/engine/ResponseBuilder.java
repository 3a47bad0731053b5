package io.magnoliaroute.daemon.engine;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** Assembles the complete response of an engine from the events of its stream. */
final class ResponseBuilder {

  /** Limit of the text and the arguments of tool calls together. */
  private static final int MAX_CONTENT_CHARS = 4_194_304;

  private static final int MAX_TOOL_CALLS = 1_024;

  private final StringBuilder content = new StringBuilder();
  private final JsonArray toolCalls = new JsonArray();
  private final List<StringBuilder> toolArguments = new ArrayList<>();
  private String id = "";
  private String finishReason;
  private JsonObject usage;
  private int tokenCount;
  private int contentChars;

  /**
   * Adds one event.
   *
   * @throws DecodeException if the event or the whole response exceeds a limit
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
    for (int i = 0; i < toolCalls.size(); i++) {
      toolCalls
          .getJsonObject(i)
          .getJsonObject("function")
          .put("arguments", toolArguments.get(i).toString());
    }
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
      content.append(checkLength(text));
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
    if (index < 0 || index >= MAX_TOOL_CALLS) {
      throw new DecodeException(
          "index of a tool call must be from 0 to " + (MAX_TOOL_CALLS - 1) + ", was " + index);
    }
    while (toolCalls.size() <= index) {
      toolCalls.add(new JsonObject().put("function", new JsonObject()));
      toolArguments.add(new StringBuilder());
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
    toolArguments.get(index).append(checkLength(functionDelta.getString("arguments", "")));
  }

  private String checkLength(String text) {
    contentChars += text.length();
    if (contentChars > MAX_CONTENT_CHARS) {
      throw new DecodeException("response exceeds " + MAX_CONTENT_CHARS + " characters");
    }
    return text;
  }
}
