package io.magnoliaroute.standin.engine;

/**
 * The shape of one model engine.
 *
 * @param model the model that is loaded at the start
 * @param tokenIntervalMs the time for each token; 0 sends tokens as fast as the reader takes them
 * @param slots calls that run at the same time; later ones wait in order of arrival
 * @param answerTokens the length of each answer, unless {@code max_tokens} is lower
 * @param checksFencingToken whether load orders with an old fencing token are refused
 */
public record EngineOptions(
    String model, long tokenIntervalMs, int slots, int answerTokens, boolean checksFencingToken) {

  /** Returns an engine with 16 slots that answers 12 tokens at once. */
  public static EngineOptions instant(String model) {
    return new EngineOptions(model, 0, 16, 12, true);
  }

  /** Returns the same engine with answers of another length. */
  public EngineOptions withAnswerTokens(int tokens) {
    return new EngineOptions(model, tokenIntervalMs, slots, tokens, checksFencingToken);
  }

  /** Returns the same engine with another number of slots. */
  public EngineOptions withSlots(int count) {
    return new EngineOptions(model, tokenIntervalMs, count, answerTokens, checksFencingToken);
  }

  /** Returns the same engine with another token interval. */
  public EngineOptions withTokenIntervalMs(long intervalMs) {
    return new EngineOptions(model, intervalMs, slots, answerTokens, checksFencingToken);
  }
}
