package io.magnoliaroute.core.gateway;

/**
 * Size limits of client requests and timeouts of client connections.
 *
 * @param maxHeaderBytes maximum size of a request's header
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeoutMs maximum time for receiving the header
 * @param idleTimeoutMs maximum time that a connection may stay idle
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply until a configuration sets others; typical limits of HTTP servers. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
