package io.magnoliaroute.daemon.engine;

import io.vertx.core.json.JsonObject;

/**
 * A whole answer of an engine.
 *
 * @param id the engine's id of the answer
 * @param message the assistant's message
 * @param finishReason why the engine stopped
 * @param promptTokens tokens read
 * @param answerTokens tokens generated
 * @param cachedTokens tokens read from the prefix cache
 */
public record EngineAnswer(
    String id,
    JsonObject message,
    String finishReason,
    int promptTokens,
    int answerTokens,
    int cachedTokens) {

  /** Returns the answer with the text that earlier, cut attempts had sent before it. */
  public EngineAnswer after(String text, int tokens) {
    if (text.isEmpty()) {
      return this;
    }
    JsonObject whole = message.copy();
    whole.put("content", text + message.getString("content", ""));
    return new EngineAnswer(
        id, whole, finishReason, promptTokens, answerTokens + tokens, cachedTokens);
  }
}
