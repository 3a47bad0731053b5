package io.magnoliaroute.daemon.engine;

import io.vertx.core.buffer.Buffer;

/**
 * Receives the events of an {@link EngineCall}. All methods run on the Vert.x context that created
 * the call. Exactly one of {@link #onResponse} and {@link #onFailure} ends a call that is not
 * cancelled.
 */
public interface EngineListener {

  /**
   * Called when further tokens have arrived.
   *
   * @param events one or more complete server-sent events, as received from the engine
   * @param tokensSoFar the number of tokens received so far in this attempt
   */
  void onTokens(Buffer events, int tokensSoFar);

  /** Called with the complete response; no further callbacks follow. */
  void onResponse(EngineResponse response);

  /** Called when the call has failed; no further callbacks follow. */
  void onFailure(EndpointFailure failure);
}
