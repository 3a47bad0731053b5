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
    int cachedTokens) {}
