package io.magnoliaroute.daemon.engine;

/**
 * Timeouts of calls to model engines and plain services, in ms.
 *
 * @param connectMs the timeout for opening a connection
 * @param firstTokenMs the timeout from the start of a call to its first token
 * @param stallMs the interval within which a stream must deliver a further token
 * @param serviceMs the timeout for the response of a plain service
 */
public record EndpointTimeouts(int connectMs, long firstTokenMs, long stallMs, long serviceMs) {

  /** Returns the timeouts that the daemon uses. */
  public static EndpointTimeouts defaults() {
    return new EndpointTimeouts(500, 30_000, 10_000, 10_000);
  }
}
