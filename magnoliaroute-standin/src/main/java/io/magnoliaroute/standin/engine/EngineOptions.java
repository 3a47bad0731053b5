package io.magnoliaroute.standin.engine;

/**
 * The configuration of a model engine.
 *
 * @param model the model that is loaded on startup
 * @param tokenIntervalMs time between tokens; 0 sends tokens as fast as the client reads them
 * @param slots maximum number of concurrent calls; further calls wait in order of arrival
 * @param responseTokens number of tokens in each response, unless {@code max_tokens} is lower
 * @param checksFencingToken whether requests to load a model are refused if their fencing token is
 *     outdated
 */
public record EngineOptions(
    String model, long tokenIntervalMs, int slots, int responseTokens, boolean checksFencingToken) {

  /** Returns options for an engine with 16 slots that sends 12 tokens without delay. */
  public static EngineOptions instant(String model) {
    return new EngineOptions(model, 0, 16, 12, true);
  }

  /** Returns a copy of these options with another number of tokens in each response. */
  public EngineOptions withResponseTokens(int tokens) {
    return new EngineOptions(model, tokenIntervalMs, slots, tokens, checksFencingToken);
  }

  /** Returns a copy of these options with another number of slots. */
  public EngineOptions withSlots(int count) {
    return new EngineOptions(model, tokenIntervalMs, count, responseTokens, checksFencingToken);
  }

  /** Returns a copy of these options with another token interval. */
  public EngineOptions withTokenIntervalMs(long intervalMs) {
    return new EngineOptions(model, intervalMs, slots, responseTokens, checksFencingToken);
  }
}
