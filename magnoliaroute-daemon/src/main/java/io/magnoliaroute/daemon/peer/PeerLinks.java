package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.daemon.metrics.DaemonMetrics;
import io.magnoliaroute.wire.Handshake;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.magnoliaroute.wire.WireException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Manages the connections to all peers. A VM sends on the connections that it opened and receives
 * on those that it accepted. All methods run on one event loop, that of the peer connections.
 */
final class PeerLinks implements PeerLink.Listener {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long HANDSHAKE_TIMEOUT_MS = 2_000;

  private final Vertx vertx;
  private final Context context;
  private final Supplier<Handshake> handshakeFactory;
  private final int maxFrameBytes;
  private final SecureRandom random;
  private final DaemonMetrics metrics;
  private final Function<VmId, Optional<PeerAddress>> addressLookup;
  private final MessageCodec codec = new MessageCodec();
  private final Map<VmId, OutgoingLink> outgoing = new HashMap<>();
  private final Set<PeerLink> accepted = new HashSet<>();
  private final NetClient client;
  private MessageListener listener;
  private NetServer server;

  /** Receives messages from peers and the loss of connections. */
  interface MessageListener {

    /** Handles a message. */
    void onMessage(VmId from, PeerMessage message);

    /** Called when a connection that the peer had opened is closed. */
    void onIncomingClosed(VmId peer);

    /** Called when the connection to the peer is closed; messages sent on it may be lost. */
    void onOutgoingClosed(VmId peer);
  }

  PeerLinks(
      Vertx vertx,
      Context context,
      Supplier<Handshake> handshakeFactory,
      int maxFrameBytes,
      SecureRandom random,
      DaemonMetrics metrics,
      Function<VmId, Optional<PeerAddress>> addressLookup) {
    this.vertx = vertx;
    this.context = context;
    this.handshakeFactory = handshakeFactory;
    this.maxFrameBytes = maxFrameBytes;
    this.random = random;
    this.metrics = metrics;
    this.addressLookup = addressLookup;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
  }

  void setListener(MessageListener newListener) {
    listener = newListener;
  }

  /** Starts to accept connections from peers and completes with the bound port. */
  Future<Integer> listen(HostPort address) {
    server =
        vertx.createNetServer(
            new NetServerOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setTcpNoDelay(true));
    return server.connectHandler(this::accept).listen().map(NetServer::actualPort);
  }

  /**
   * Sends a message to a peer. The returned future completes when the message has been written to
   * an authenticated connection. If it fails, the message was dropped before that, so the peer has
   * not received it.
   */
  Future<Void> send(VmId to, PeerMessage message) {
    Optional<PeerAddress> address = addressLookup.apply(to);
    if (address.isEmpty()) {
      return Future.failedFuture("no address known for " + to);
    }
    return outgoing
        .computeIfAbsent(to, vm -> new OutgoingLink(vm, this::connect, vertx, random))
        .send(message, address.get());
  }

  /** Closes the connection to a peer that membership has declared dead. */
  void drop(VmId peer) {
    OutgoingLink link = outgoing.remove(peer);
    if (link != null) {
      link.close();
      listener.onOutgoingClosed(peer);
    }
  }

  Future<Void> close() {
    outgoing.values().forEach(OutgoingLink::close);
    Set.copyOf(accepted).forEach(PeerLink::close);
    return server == null ? Future.succeededFuture() : server.close();
  }

  @Override
  public void onMessage(PeerLink link, PeerMessage message) {
    if (link.isOutgoing()) {
      onRejected(
          new WireException(
              WireException.Kind.UNEXPECTED_MESSAGE, "message received on an outgoing connection"));
      link.close();
      return;
    }
    listener.onMessage(link.peer(), message);
  }

  @Override
  public void onAuthenticated(PeerLink link) {
    metrics.increment("peer_connections");
    if (link.isOutgoing() && outgoing.containsKey(link.peer())) {
      outgoing.get(link.peer()).handleAuthenticated(link);
    }
  }

  @Override
  public void onClosed(PeerLink link) {
    accepted.remove(link);
    if (!link.isAuthenticated()) {
      outgoing.values().forEach(each -> each.handleClosed(link));
      return;
    }
    if (!link.isOutgoing()) {
      listener.onIncomingClosed(link.peer());
      return;
    }
    OutgoingLink closing = outgoing.get(link.peer());
    if (closing != null && closing.handleClosed(link)) {
      listener.onOutgoingClosed(link.peer());
    }
  }

  @Override
  public void onRejected(WireException problem) {
    metrics.increment("peer_frames_rejected", "kind", problem.kind().wireName());
  }

  private void accept(NetSocket socket) {
    context.runOnContext(
        run -> {
          PeerLink link =
              PeerLink.accepted(socket, codec, this, handshakeFactory.get(), maxFrameBytes);
          accepted.add(link);
          scheduleHandshakeTimeout(link);
        });
  }

  private Future<PeerLink> connect(PeerAddress address) {
    return client
        .connect(address.port(), address.host())
        .map(
            socket -> {
              PeerLink link =
                  PeerLink.opened(socket, codec, this, handshakeFactory.get(), maxFrameBytes);
              scheduleHandshakeTimeout(link);
              return link;
            });
  }

  private void scheduleHandshakeTimeout(PeerLink link) {
    vertx.setTimer(
        HANDSHAKE_TIMEOUT_MS,
        timer -> {
          if (!link.isAuthenticated()) {
            link.close();
          }
        });
  }
}
