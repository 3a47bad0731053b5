package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointPaths;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Relays connections of other VMs to endpoints that they do not reach themselves. Forwards bytes
 * without interpreting them: the VM that accepted a request makes all decisions about it. Connects
 * directly only, so a connection never leads through two relays. Used on one event loop.
 */
final class TunnelServer {

  /** Bounds the sockets and buffers of tunnels, so that this VM's own clients are still served. */
  private static final int MAX_TUNNELS = 512;

  /** Time without bytes after which a tunnel is closed; longer than any request may wait. */
  private static final long MAX_IDLE_MS = 120_000;

  private final NetClient client;
  private final RoutingState routingState;
  private final EndpointPaths paths;
  private final ReachabilityMonitor reachability;
  private final InstantSource clock;
  private final GatewayMetrics metrics;
  private final Map<String, Boolean> endedTunnels =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_TUNNELS;
        }
      };
  private final Set<Tunnel> tunnels = new LinkedHashSet<>();
  private boolean stopping;
  private boolean closed;

  TunnelServer(
      Vertx vertx,
      RoutingState routingState,
      EndpointPaths paths,
      ReachabilityMonitor reachability,
      InstantSource clock,
      GatewayMetrics metrics) {
    this.routingState = routingState;
    this.paths = paths;
    this.reachability = reachability;
    this.clock = clock;
    this.metrics = metrics;
    this.client =
        vertx.createNetClient(
            new NetClientOptions()
                .setConnectTimeout(EndpointConnectionPool.CONNECT_TIMEOUT_MS)
                .setTcpNoDelay(true)
                .setSendBufferSize(EndpointConnectionPool.SEND_BUFFER_BYTES));
  }

  /**
   * Handles a connection of another VM that begins with a tunnel request.
   *
   * @param onOpened runs once the connection is one of the tunnels, which have a limit of their own
   */
  void accept(NetSocket socket, Buffer firstBytes, Runnable onOpened) {
    Buffer received = Buffer.buffer();
    socket.handler(bytes -> read(socket, received.appendBuffer(bytes), onOpened));
    read(socket, received.appendBuffer(firstBytes), onOpened);
  }

  /** Responds to the question of another VM how one of its tunnels has ended. */
  PeerMessage.TunnelEndReply onRequest(PeerMessage.TunnelEndRequest request) {
    Boolean closedByEndpoint = endedTunnels.remove(request.callerAddress());
    return new PeerMessage.TunnelEndReply(request.request(), Boolean.TRUE.equals(closedByEndpoint));
  }

  int openTunnels() {
    return tunnels.size();
  }

  /** Closes tunnels that have transported nothing for long, as after a loss of their VM. */
  void closeIdle() {
    long nowMs = clock.millis();
    for (Tunnel each : List.copyOf(tunnels)) {
      if (nowMs - each.lastActiveAtMs >= MAX_IDLE_MS) {
        each.caller.close();
      }
    }
  }

  /** Refuses further tunnels; open ones remain until one of their ends closes them. */
  void beginShutdown() {
    stopping = true;
  }

  /** Confirms no further ends: from now on, this process closes the connections to endpoints. */
  void close() {
    closed = true;
    endedTunnels.clear();
  }

  private void recordEnd(String callerAddress, boolean closedByEndpoint) {
    if (!closed) {
      endedTunnels.putIfAbsent(callerAddress, closedByEndpoint);
    }
  }

  private void read(NetSocket socket, Buffer received, Runnable onOpened) {
    try {
      Optional<TunnelRequest> request = TunnelRequest.decode(received);
      if (request.isPresent()) {
        socket.pause();
        open(socket, request.get(), onOpened);
      }
    } catch (TunnelRequest.MalformedRequestException e) {
      metrics.count("tunnels_malformed");
      socket.close();
    }
  }

  private void open(NetSocket socket, TunnelRequest request, Runnable onOpened) {
    Optional<EndpointEntry> endpoint =
        routingState
            .endpoints()
            .find(request.endpoint())
            .filter(entry -> entry.startedAtMs() == request.startedAtMs())
            .filter(entry -> routingState.endpoints().maySendTo(entry, clock.millis()));
    if (stopping
        || tunnels.size() >= MAX_TUNNELS
        || endpoint.isEmpty()
        || !paths.isDirect(request.endpoint())) {
      refuse(socket);
      return;
    }
    Tunnel tunnel = new Tunnel(socket);
    onOpened.run();
    client
        .connect(endpoint.get().address().port(), endpoint.get().address().host())
        .onSuccess(tunnel::connect)
        .onFailure(
            e -> {
              refuse(socket);
              reachability.onConnectFailure(endpoint.get(), Optional.empty(), e);
            });
  }

  private void refuse(NetSocket socket) {
    metrics.count("tunnels_refused");
    socket.write(TunnelRequest.reply(false)).onComplete(written -> socket.close());
  }

  /** A connection of another VM and, once it is established, the one to the endpoint. */
  private final class Tunnel {

    private final NetSocket caller;
    private final String callerAddress;
    private NetSocket endpoint;
    private long lastActiveAtMs;
    private boolean callerClosed;
    private int pendingWrites;

    Tunnel(NetSocket caller) {
      this.caller = caller;
      this.callerAddress = String.valueOf(caller.remoteAddress());
      this.lastActiveAtMs = clock.millis();
      tunnels.add(this);
      caller.closeHandler(closed -> onCallerClosed());
    }

    private void onCallerClosed() {
      callerClosed = true;
      tunnels.remove(this);
      if (endpoint != null) {
        endpoint.close();
      }
    }

    void connect(NetSocket newEndpoint) {
      endpoint = newEndpoint;
      if (callerClosed) {
        endpoint.close();
        return;
      }
      metrics.count("tunnels_opened");
      endedTunnels.remove(callerAddress);
      // An endpoint may respond and close the connection before it has read the whole request.
      ((NetSocketInternal) endpoint).channelHandlerContext().channel().config().setAutoClose(false);
      endpoint.exceptionHandler(
          e -> {
            recordEnd(callerAddress, false);
            endpoint.close();
          });
      endpoint.endHandler(
          ended -> {
            // Unless the endpoint has been sent all bytes, it may not have read the whole request.
            recordEnd(callerAddress, pendingWrites == 0);
            caller.end();
          });
      caller.write(TunnelRequest.reply(true));
      forward(caller, endpoint);
      forward(endpoint, caller);
      caller.resume();
    }

    private void forward(NetSocket from, NetSocket to) {
      from.handler(
          bytes -> {
            lastActiveAtMs = clock.millis();
            boolean toEndpoint = to == endpoint;
            pendingWrites += toEndpoint ? 1 : 0;
            to.write(bytes)
                .onSuccess(written -> pendingWrites -= toEndpoint ? 1 : 0)
                .onFailure(e -> recordEnd(callerAddress, false));
            if (to.writeQueueFull()) {
              from.pause();
              to.drainHandler(drained -> from.resume());
            }
          });
    }
  }
}
