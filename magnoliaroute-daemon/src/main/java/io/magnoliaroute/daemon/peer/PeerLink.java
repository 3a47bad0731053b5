package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.wire.FrameReader;
import io.magnoliaroute.wire.Handshake;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.magnoliaroute.wire.WireException;
import io.vertx.core.net.NetSocket;

/**
 * One connection to a peer, which must complete the handshake before other messages are accepted.
 * Used only on the event loop of the peer connections.
 */
final class PeerLink {

  /** Receives the events of a connection. */
  interface Listener {

    /** Handles a message from an authenticated peer. */
    void onMessage(PeerLink link, PeerMessage message);

    /** Called when the handshake has completed. */
    void onAuthenticated(PeerLink link);

    /** Called when the connection is closed. */
    void onClosed(PeerLink link);

    /** Called when a frame or message is rejected; the connection is then closed. */
    void onRejected(WireException problem);
  }

  private final NetSocket socket;
  private final MessageCodec codec;
  private final Listener listener;
  private final Handshake handshake;
  private final boolean outgoing;
  private PeerMessage.Hello hello;
  private VmId peer;
  private boolean authenticated;

  private PeerLink(
      NetSocket socket,
      MessageCodec codec,
      Listener listener,
      Handshake handshake,
      boolean outgoing) {
    this.socket = socket;
    this.codec = codec;
    this.listener = listener;
    this.handshake = handshake;
    this.outgoing = outgoing;
  }

  /** Creates the link for an accepted connection and waits for the peer's hello. */
  static PeerLink accepted(
      NetSocket socket,
      MessageCodec codec,
      Listener listener,
      Handshake handshake,
      int maxFrameBytes) {
    PeerLink link = new PeerLink(socket, codec, listener, handshake, false);
    link.installHandlers(maxFrameBytes);
    return link;
  }

  /** Creates the link for a connection that this VM opened and sends the hello. */
  static PeerLink opened(
      NetSocket socket,
      MessageCodec codec,
      Listener listener,
      Handshake handshake,
      int maxFrameBytes) {
    PeerLink link = new PeerLink(socket, codec, listener, handshake, true);
    link.installHandlers(maxFrameBytes);
    link.send(handshake.hello());
    return link;
  }

  VmId peer() {
    return peer;
  }

  boolean isOutgoing() {
    return outgoing;
  }

  boolean isAuthenticated() {
    return authenticated;
  }

  void send(PeerMessage message) {
    socket.write(FrameReader.prependLength(codec.encode(message)));
  }

  void close() {
    socket.close();
  }

  private void installHandlers(int maxFrameBytes) {
    FrameReader reader = new FrameReader(maxFrameBytes, this::handleFrame, this::reject);
    socket.handler(reader);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(closed -> listener.onClosed(this));
  }

  private void handleFrame(byte[] frame) {
    try {
      PeerMessage message = codec.decode(frame);
      if (authenticated) {
        listener.onMessage(this, message);
      } else {
        handleHandshakeMessage(message);
      }
    } catch (WireException e) {
      reject(e);
    }
  }

  private void handleHandshakeMessage(PeerMessage message) throws WireException {
    if (outgoing && message instanceof PeerMessage.Challenge challenge) {
      send(handshake.prove(challenge));
      peer = challenge.vm();
      markAuthenticated();
    } else if (!outgoing && hello == null && message instanceof PeerMessage.Hello first) {
      hello = first;
      send(handshake.challenge(first));
    } else if (!outgoing && hello != null && message instanceof PeerMessage.Proof proof) {
      handshake.verify(hello, proof);
      peer = hello.vm();
      markAuthenticated();
    } else {
      throw new WireException(
          WireException.Kind.UNEXPECTED_MESSAGE,
          message.getClass().getSimpleName() + " received before the handshake completed");
    }
  }

  private void markAuthenticated() {
    authenticated = true;
    listener.onAuthenticated(this);
  }

  private void reject(WireException problem) {
    listener.onRejected(problem);
    socket.close();
  }
}
