package io.magnoliaroute.daemon.engine;

/**
 * Times after which an endpoint counts as hung.
 *
 * @param connectMs to open a connection
 * @param firstTokenMs from sending a call to its first token
 * @param stallMs between two tokens
 * @param serviceMs for a plain service's answer
 */
public record EngineTimeouts(int connectMs, long firstTokenMs, long stallMs, long serviceMs) {

  /** Returns the times that the daemon uses. */
  public static EngineTimeouts defaults() {
    return new EngineTimeouts(500, 30_000, 10_000, 10_000);
  }
}
