package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.ProxyOptions;
import io.vertx.core.net.ProxyType;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A request to a VM to relay a connection to an endpoint, as an HTTP {@code CONNECT} request. Names
 * the endpoint and its start instead of a host; the relay takes the address from its own list, so
 * that it connects to endpoints only.
 *
 * @param endpoint the id of the endpoint
 * @param startedAtMs the start of the endpoint that the connection is meant for
 */
record TunnelRequest(EndpointId endpoint, long startedAtMs) {

  /**
   * Time-out of a connection through a relay: the relay's own connect time-out and several times
   * the network latency between VMs.
   */
  static final long CONNECT_TIMEOUT_MS = EndpointConnectionPool.CONNECT_TIMEOUT_MS + 50;

  /** The first byte of each request; as the first byte of a frame it would exceed any length. */
  private static final byte FIRST_BYTE = 'C';

  private static final int MAX_BYTES = 4_096;
  private static final String END = "\r\n\r\n";
  private static final Pattern REQUEST_LINE =
      Pattern.compile("CONNECT (\\S+)\\.(-?\\d{1,18}):\\d+ HTTP/1\\.1\r\n.*", Pattern.DOTALL);

  /** Thrown when received bytes are not a tunnel request. */
  static final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedRequestException(String message) {
      super(message);
    }
  }

  /** Returns the address that names the endpoint in a request to a relay. */
  static SocketAddress address(EndpointEntry endpoint) {
    return SocketAddress.inetSocketAddress(
        endpoint.address().port(), endpoint.id() + "." + endpoint.startedAtMs());
  }

  /** Returns the client options for connections through the relay. */
  static ProxyOptions proxyOptions(VmEntry relay) {
    return new ProxyOptions()
        .setType(ProxyType.HTTP)
        .setHost(relay.address().host())
        .setPort(relay.address().port())
        .setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS));
  }

  /** Returns whether the first bytes of a connection begin a tunnel request. */
  static boolean isTunnelRequest(Buffer firstBytes) {
    return firstBytes.getByte(0) == FIRST_BYTE;
  }

  /**
   * Decodes a request; empty if it is incomplete so far.
   *
   * @throws MalformedRequestException if the bytes are not a tunnel request
   */
  static Optional<TunnelRequest> decode(Buffer bytes) throws MalformedRequestException {
    if (bytes.length() > MAX_BYTES) {
      throw new MalformedRequestException("tunnel request exceeds " + MAX_BYTES + " bytes");
    }
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    if (!text.endsWith(END)) {
      return Optional.empty();
    }
    Matcher line = REQUEST_LINE.matcher(text);
    if (!line.matches()) {
      throw new MalformedRequestException("tunnel request names no endpoint");
    }
    try {
      EndpointId endpoint = new EndpointId(line.group(1));
      return Optional.of(new TunnelRequest(endpoint, Long.parseLong(line.group(2))));
    } catch (IllegalArgumentException e) {
      throw new MalformedRequestException("tunnel request names no endpoint: " + e.getMessage());
    }
  }

  /** Returns the reply to a request. */
  static Buffer reply(boolean granted) {
    return Buffer.buffer("HTTP/1.1 " + (granted ? "200 OK" : "503 Service Unavailable") + END);
  }
}
