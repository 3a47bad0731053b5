package io.magnoliaroute.core.settings;

/**
 * An IP address with a TCP port.
 *
 * @param host the IPv4 or IPv6 address, without brackets
 * @param port the TCP port; for a listening address, 0 lets the operating system choose a port
 */
public record HostPort(String host, int port) {

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
