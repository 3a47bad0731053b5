package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.wire.FrameReader;
import io.magnoliaroute.wire.Handshake;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.magnoliaroute.wire.WireException;
import io.vertx.core.net.NetSocket;

/** One authenticated connection; used on the peers' context. */
final class PeerLink {

  /** The parts that all links share. */
  interface Owner {

    /** Takes a message of an authenticated peer. */
    void received(PeerLink link, PeerMessage message);

    /** Says that the peer has proved the secret. */
    void authenticated(PeerLink link);

    /** Says that the connection ended. */
    void closed(PeerLink link);

    /** Counts a frame that was not accepted. */
    void rejected(WireException problem);
  }

  private final NetSocket socket;
  private final MessageCodec codec;
  private final Owner owner;
  private final Handshake handshake;
  private final boolean connecting;
  private PeerMessage.Hello hello;
  private VmId peer;
  private boolean authenticated;

  private PeerLink(
      NetSocket socket, MessageCodec codec, Owner owner, Handshake handshake, boolean connecting) {
    this.socket = socket;
    this.codec = codec;
    this.owner = owner;
    this.handshake = handshake;
    this.connecting = connecting;
  }

  /** Starts the handshake of the side that accepted the connection. */
  static PeerLink accepted(
      NetSocket socket, MessageCodec codec, Owner owner, Handshake handshake, int maxFrameBytes) {
    PeerLink link = new PeerLink(socket, codec, owner, handshake, false);
    link.listen(maxFrameBytes);
    return link;
  }

  /** Starts the handshake of the side that opened the connection. */
  static PeerLink opened(
      NetSocket socket, MessageCodec codec, Owner owner, Handshake handshake, int maxFrameBytes) {
    PeerLink link = new PeerLink(socket, codec, owner, handshake, true);
    link.listen(maxFrameBytes);
    link.send(handshake.hello());
    return link;
  }

  VmId peer() {
    return peer;
  }

  boolean isConnecting() {
    return connecting;
  }

  boolean isAuthenticated() {
    return authenticated;
  }

  void send(PeerMessage message) {
    socket.write(FrameReader.frame(codec.encode(message)));
  }

  void close() {
    socket.close();
  }

  private void listen(int maxFrameBytes) {
    FrameReader reader = new FrameReader(maxFrameBytes, this::frame, this::reject);
    socket.handler(reader);
    socket.exceptionHandler(failure -> socket.close());
    socket.closeHandler(closed -> owner.closed(this));
  }

  private void frame(byte[] frame) {
    try {
      PeerMessage message = codec.decode(frame);
      if (authenticated) {
        owner.received(this, message);
      } else {
        shakeHands(message);
      }
    } catch (WireException e) {
      reject(e);
    }
  }

  private void shakeHands(PeerMessage message) throws WireException {
    if (connecting && message instanceof PeerMessage.Challenge challenge) {
      send(handshake.prove(challenge));
      peer = challenge.vm();
      accept();
    } else if (!connecting && hello == null && message instanceof PeerMessage.Hello first) {
      hello = first;
      send(handshake.challenge(first));
    } else if (!connecting && hello != null && message instanceof PeerMessage.Proof proof) {
      handshake.verify(hello, proof);
      peer = hello.vm();
      accept();
    } else {
      throw new WireException(
          WireException.Kind.UNEXPECTED_MESSAGE,
          message.getClass().getSimpleName() + " before the handshake ended");
    }
  }

  private void accept() {
    authenticated = true;
    owner.authenticated(this);
  }

  private void reject(WireException problem) {
    owner.rejected(problem);
    socket.close();
  }
}
