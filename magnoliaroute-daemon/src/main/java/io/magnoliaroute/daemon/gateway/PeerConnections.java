package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.ReceiveMemoryLimiter;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.FrameReader;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.magnoliaroute.wire.WireException;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Connections to the other VMs, over which requests, replies and notifications are exchanged. Used
 * on one event loop.
 */
final class PeerConnections {

  /** The largest message carries a configuration and the list of endpoints. */
  private static final int MAX_FRAME_BYTES = 16_777_216;

  /** Divisor of the heap: the memory for all incomplete frames of accepted connections. */
  private static final int FRAME_MEMORY_DIVISOR = 8;

  /** Share of that memory that is left to small frames. */
  private static final double SMALL_FRAME_SHARE = 0.125;

  private static final int CONNECT_TIMEOUT_MS = 200;

  /** Initial backoff before an unreachable peer is tried again; doubles up to the maximum. */
  private static final long FIRST_RETRY_MS = 250;

  private static final long MAX_RETRY_MS = 2_000;
  private static final int MAX_DOUBLINGS = 3;
  private static final int MAX_QUEUED_FRAMES = 200;

  private final Vertx vertx;
  private final InstantSource clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final MessageCodec codec = new MessageCodec();
  private final ReceiveMemoryLimiter frameMemory;
  private final ConnectionLimiter<NetSocket> accepted;
  private final NetClient client;
  private final Map<HostPort, Peer> peers = new HashMap<>();
  private MessageHandler handler;
  private TunnelServer tunnelServer;
  private long lastRequestId;
  private long revision;

  /** Handles the messages of other VMs. */
  interface MessageHandler {

    /** Handles a request and completes with the reply. */
    Future<PeerMessage> onRequest(PeerMessage request);

    /** Handles a notification, which has no reply. */
    void onNotification(PeerMessage notification);

    /** Handles a reply that arrived after its request had timed out or failed. */
    void onLateReply(HostPort from, PeerMessage reply);
  }

  private static final class Peer {
    private NetSocket socket;
    private boolean connecting;
    private final List<Buffer> queuedFrames = new ArrayList<>();
    private final Map<Long, Promise<PeerMessage>> pendingRequests = new HashMap<>();
    private int failures;
    private boolean unreachable;
    private boolean refused;
    private long unreachableSinceMs;
    private long retryAtMs;
  }

  /**
   * Creates connections that are not established yet.
   *
   * @param maxAccepted limit of the accepted connections that are no tunnels
   */
  PeerConnections(
      Vertx vertx, InstantSource clock, DecisionLog log, GatewayMetrics metrics, int maxAccepted) {
    this.vertx = vertx;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.accepted = new ConnectionLimiter<>(maxAccepted, this::evict);
    long memoryBytes = Runtime.getRuntime().maxMemory() / FRAME_MEMORY_DIVISOR;
    this.frameMemory =
        new ReceiveMemoryLimiter(
            memoryBytes, (long) ((1 - SMALL_FRAME_SHARE) * memoryBytes), clock);
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true));
  }

  /** Listens for messages of other VMs and for connections that they relay through this one. */
  Future<NetServer> listen(
      HostPort address, MessageHandler newHandler, TunnelServer newTunnelServer) {
    handler = newHandler;
    tunnelServer = newTunnelServer;
    return vertx
        .createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
        .connectHandler(this::onConnection)
        .listen(address.port(), address.host());
  }

  /** Returns a new request id, unique on this VM. */
  long nextRequestId() {
    return ++lastRequestId;
  }

  /** Returns whether the peer has failed and no connection to it has succeeded since. */
  boolean isUnreachable(HostPort address) {
    Peer peer = peers.get(address);
    return peer != null && peer.unreachable;
  }

  /** Returns a counter that is incremented when a peer becomes unreachable or reachable again. */
  long revision() {
    return revision;
  }

  /** Returns for how long the peer has been unreachable, or 0 if it is reachable. */
  long unreachableForMs(HostPort address) {
    return isUnreachable(address) ? clock.millis() - peers.get(address).unreachableSinceMs : 0;
  }

  /**
   * Returns whether the host of the peer refused the last connection, so that its process is not
   * running.
   */
  boolean hasRefused(HostPort address) {
    Peer peer = peers.get(address);
    return peer != null && peer.refused;
  }

  /** Connects to unreachable peers whose backoff has elapsed; callers skip them until then. */
  void reconnectUnreachable() {
    peers.forEach(
        (address, peer) -> {
          if (peer.unreachable && peer.socket == null && clock.millis() >= peer.retryAtMs) {
            connect(address, peer);
          }
        });
  }

  /** Sends a request and completes with its reply, or fails after the time-out. */
  Future<PeerMessage> sendRequest(
      HostPort address, long requestId, PeerMessage message, long timeoutMs) {
    Peer peer = peers.computeIfAbsent(address, a -> new Peer());
    Promise<PeerMessage> promise = Promise.promise();
    peer.pendingRequests.put(requestId, promise);
    long timer =
        vertx.setTimer(
            timeoutMs,
            fired -> {
              if (peer.pendingRequests.remove(requestId) != null) {
                onFailure(address, peer, "no reply within " + timeoutMs + " ms");
                promise.tryFail("no reply from " + address);
              }
            });
    send(address, peer, message);
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  /** Sends a notification; it is dropped if the peer cannot be reached. */
  void sendNotification(HostPort address, PeerMessage message) {
    send(address, peers.computeIfAbsent(address, a -> new Peer()), message);
  }

  /** Sends the same notification to several peers. */
  void broadcast(List<HostPort> addresses, PeerMessage message) {
    Buffer frame = FrameReader.prependLength(codec.encode(message));
    for (HostPort address : addresses) {
      write(address, peers.computeIfAbsent(address, a -> new Peer()), frame);
    }
  }

  private void send(HostPort address, Peer peer, PeerMessage message) {
    write(address, peer, FrameReader.prependLength(codec.encode(message)));
  }

  private void write(HostPort address, Peer peer, Buffer frame) {
    if (peer.socket != null) {
      // Back-pressure: frames for a peer that does not read must not fill this VM's memory.
      if (peer.socket.writeQueueFull()) {
        metrics.count("peer_messages_dropped");
      } else {
        peer.socket.write(frame);
      }
      return;
    }
    if (peer.queuedFrames.size() < MAX_QUEUED_FRAMES) {
      peer.queuedFrames.add(frame);
    }
    connect(address, peer);
  }

  private void connect(HostPort address, Peer peer) {
    if (peer.connecting) {
      return;
    }
    peer.connecting = true;
    client
        .connect(address.port(), address.host())
        .onSuccess(
            socket -> {
              peer.connecting = false;
              peer.refused = false;
              peer.socket = socket;
              markReachable(address, peer);
              socket.handler(frameReader(socket, message -> onReply(address, peer, message)));
              socket.exceptionHandler(e -> socket.close());
              socket.closeHandler(closed -> onClosed(address, peer, socket));
              peer.queuedFrames.forEach(socket::write);
              peer.queuedFrames.clear();
            })
        .onFailure(
            e -> {
              peer.connecting = false;
              peer.refused =
                  e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
              onFailure(address, peer, String.valueOf(e.getMessage()));
            });
  }

  private void markReachable(HostPort address, Peer peer) {
    if (peer.unreachable) {
      peer.unreachable = false;
      revision++;
      log.line("peer_regained").put("peer", address.toString()).write();
    }
  }

  private void onClosed(HostPort address, Peer peer, NetSocket socket) {
    if (peer.socket == socket) {
      peer.socket = null;
      if (!peer.pendingRequests.isEmpty()) {
        onFailure(address, peer, "connection closed");
      }
    }
  }

  private void onFailure(HostPort address, Peer peer, String cause) {
    long retryMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(peer.failures, MAX_DOUBLINGS));
    peer.failures++;
    peer.retryAtMs = clock.millis() + retryMs;
    if (!peer.unreachable) {
      peer.unreachable = true;
      revision++;
      peer.unreachableSinceMs = clock.millis();
      metrics.count("peers_lost");
      log.line("peer_lost").put("peer", address.toString()).put("cause", cause).write();
    }
    metrics.count("peer_failures");
    peer.queuedFrames.clear();
    NetSocket socket = peer.socket;
    peer.socket = null;
    if (socket != null) {
      socket.close();
    }
    List<Promise<PeerMessage>> open = List.copyOf(peer.pendingRequests.values());
    peer.pendingRequests.clear();
    open.forEach(promise -> promise.tryFail(cause));
  }

  private void onReply(HostPort address, Peer peer, PeerMessage message) {
    peer.failures = 0;
    Promise<PeerMessage> promise = peer.pendingRequests.remove(requestIdOf(message));
    if (promise != null) {
      promise.tryComplete(message);
    } else {
      handler.onLateReply(address, message);
    }
  }

  private static long requestIdOf(PeerMessage message) {
    if (message instanceof PeerMessage.AllowanceReply reply) {
      return reply.request();
    }
    if (message instanceof PeerMessage.PermitReply reply) {
      return reply.request();
    }
    if (message instanceof PeerMessage.WorkspacePermitReply reply) {
      return reply.request();
    }
    if (message instanceof PeerMessage.TunnelEndReply reply) {
      return reply.request();
    }
    return message instanceof PeerMessage.RoutingStateReply reply ? reply.request() : -1;
  }

  private void evict(NetSocket socket) {
    metrics.count("peer_connections_evicted");
    socket.close();
  }

  private void onConnection(NetSocket socket) {
    socket.exceptionHandler(e -> socket.close());
    socket.closeHandler(closed -> accepted.remove(socket));
    accepted.add(socket);
    FrameReader frames =
        frameReader(
            socket,
            message -> {
              if (message instanceof PeerMessage.AllowanceRequest
                  || message instanceof PeerMessage.PermitRequest
                  || message instanceof PeerMessage.WorkspacePermitRequest
                  || message instanceof PeerMessage.TunnelEndRequest
                  || message instanceof PeerMessage.RoutingStateRequest) {
                handler
                    .onRequest(message)
                    .onSuccess(
                        reply -> socket.write(FrameReader.prependLength(codec.encode(reply))));
              } else {
                handler.onNotification(message);
              }
            });
    socket.handler(
        firstBytes -> {
          if (TunnelRequest.isTunnelRequest(firstBytes)) {
            tunnelServer.accept(socket, firstBytes, () -> accepted.remove(socket));
          } else {
            receiveFrames(socket, frames, firstBytes);
          }
        });
  }

  private void receiveFrames(NetSocket socket, FrameReader frames, Buffer firstBytes) {
    ReceiveMemoryLimiter.Message memory =
        frameMemory.begin(() -> rejectFrame(socket, "frame memory limit reached"));
    Handler<Buffer> receiver =
        bytes -> {
          accepted.recordActivity(socket);
          frames.handle(bytes);
          memory.recordReceived(bytes.length());
          if (!memory.tryResize(frames.pendingBytes())) {
            memory.release();
            rejectFrame(socket, "frame memory limit reached");
          }
        };
    socket.closeHandler(
        closed -> {
          accepted.remove(socket);
          memory.release();
        });
    socket.handler(receiver);
    receiver.handle(firstBytes);
  }

  private FrameReader frameReader(NetSocket socket, Consumer<PeerMessage> messages) {
    return new FrameReader(
        MAX_FRAME_BYTES,
        frame -> {
          try {
            messages.accept(codec.decode(frame));
          } catch (WireException | IllegalArgumentException | NullPointerException e) {
            // A field may be missing, or hold a value that is not valid as a name or address.
            rejectFrame(socket, String.valueOf(e.getMessage()));
          }
        },
        e -> rejectFrame(socket, String.valueOf(e.getMessage())));
  }

  private void rejectFrame(NetSocket socket, String problem) {
    log.line("peer_frame_rejected")
        .put("peer", String.valueOf(socket.remoteAddress()))
        .put("problem", problem)
        .write();
    socket.close();
  }
}
