package io.magnoliaroute.core.settings;

/**
 * An address by IP number.
 *
 * @param host the IP number, without brackets
 * @param port the TCP port; 0 lets the system choose where a process listens
 */
public record HostPort(String host, int port) {

  @Override
  public String toString() {
    return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
  }
}
