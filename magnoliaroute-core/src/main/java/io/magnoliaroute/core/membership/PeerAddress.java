package io.magnoliaroute.core.membership;

/**
 * The address at which a VM accepts connections from its peers.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {

  private static final int MAX_HOST_CHARS = 64;
  private static final int MAX_PORT = 65_535;

  /** Rejects an empty or overlong host and a port outside 1 to 65535. */
  public PeerAddress {
    if (host == null || host.isEmpty() || host.length() > MAX_HOST_CHARS) {
      throw new IllegalArgumentException(
          "host must have 1 to " + MAX_HOST_CHARS + " characters, was: '" + host + "'");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port must be in 1 to " + MAX_PORT + ", was " + port);
    }
  }
}
