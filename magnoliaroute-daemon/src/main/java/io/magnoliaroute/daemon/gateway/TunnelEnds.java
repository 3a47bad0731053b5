package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;

/**
 * Determines how connections through relays have ended. A relay that is killed closes them as an
 * endpoint does that has sent everything, so a response that ends with its connection is complete
 * only if the relay confirms it. Used on one event loop.
 */
final class TunnelEnds {

  private static final long TIMEOUT_MS = 400;

  private final PeerConnections peers;

  TunnelEnds(PeerConnections peers) {
    this.peers = peers;
  }

  /** Returns whether the endpoint has closed the connection itself, without an error. */
  Future<Boolean> isClosedByEndpoint(EndpointConnection connection) {
    if (connection.relay().isEmpty()) {
      return Future.succeededFuture(true);
    }
    VmEntry relay = connection.relay().get();
    long request = peers.nextRequestId();
    String address = String.valueOf(connection.connection().localAddress());
    return peers
        .sendRequest(
            relay.address(),
            request,
            new PeerMessage.TunnelEndRequest(request, address),
            TIMEOUT_MS)
        .map(reply -> ((PeerMessage.TunnelEndReply) reply).closedByEndpoint())
        .otherwise(false);
  }
}
