package io.magnoliaroute.daemon.engine;

import io.vertx.core.buffer.Buffer;

/** Takes what an engine sends; all methods run on the context that made the call. */
public interface EngineListener {

  /**
   * Takes events as they came.
   *
   * @param events whole server-sent events
   * @param tokensSoFar tokens of this attempt
   */
  void onTokens(Buffer events, int tokensSoFar);

  /** Takes the whole answer. */
  void onAnswer(EngineAnswer answer);

  /** Takes the failure; nothing follows. */
  void onFailure(EngineFailure failure);
}
