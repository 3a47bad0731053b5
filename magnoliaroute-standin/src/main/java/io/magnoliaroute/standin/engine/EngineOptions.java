package io.magnoliaroute.standin.engine;

/**
 * The shape of one model engine.
 *
 * @param model the model that is loaded at the start
 * @param tokenIntervalMs the time for each token; 0 sends tokens as fast as the reader takes them
 * @param slots calls that run at the same time; later ones wait in order of arrival
 * @param defaultTokens tokens of an answer whose request sets no {@code max_tokens}
 * @param checksFencingToken whether load orders with an old fencing token are refused
 */
public record EngineOptions(
    String model, long tokenIntervalMs, int slots, int defaultTokens, boolean checksFencingToken) {

  /** Returns an engine with 16 slots that answers 12 tokens at once. */
  public static EngineOptions instant(String model) {
    return new EngineOptions(model, 0, 16, 12, true);
  }

  /** Returns the same engine with another token interval. */
  public EngineOptions withTokenIntervalMs(long intervalMs) {
    return new EngineOptions(model, intervalMs, slots, defaultTokens, checksFencingToken);
  }
}
