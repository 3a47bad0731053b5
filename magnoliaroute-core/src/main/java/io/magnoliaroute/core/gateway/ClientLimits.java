package io.magnoliaroute.core.gateway;

/**
 * What a client may send, and how long a connection may stay idle.
 *
 * @param maxHeaderBytes size of a request's header
 * @param maxBodyBytes size of a request's body
 * @param headerTimeoutMs time for sending the header
 * @param idleTimeoutMs time for which a connection may stay idle
 */
public record ClientLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** In force until a configuration names others: the usual limits of HTTP servers. */
  public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
