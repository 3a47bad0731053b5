package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.DaemonTestEnvironment;
import io.magnoliaroute.wire.FrameReader;
import io.magnoliaroute.wire.Handshake;
import io.magnoliaroute.wire.MessageCodec;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.security.SecureRandom;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests that the peer port closes connections that violate the protocol, and counts the causes. */
final class PeerProtocolTest {

  private static DaemonTestEnvironment environment;
  private static Daemon daemon;

  @BeforeAll
  static void startEnvironment() {
    environment = DaemonTestEnvironment.withFastEngines();
    daemon = environment.startDaemon("vm-1");
  }

  @AfterAll
  static void closeEnvironment() {
    environment.close();
  }

  /** Guards against memory that is allocated for a frame length sent by an unauthenticated peer. */
  @Test
  void aFrameAboveTheBoundClosesTheConnection() {
    sendAndAwaitClose(Buffer.buffer().appendInt(Integer.MAX_VALUE));
    assertEquals(1, rejectedFrames("frame_length"));
  }

  /** Guards against frames of an unknown type that are silently ignored. */
  @Test
  void anUnknownMessageTypeClosesTheConnection() {
    sendAndAwaitClose(FrameReader.prependLength(new byte[] {99, (byte) 0x80}));
    assertEquals(1, rejectedFrames("unknown_type"));
  }

  /** Guards against messages from a peer that has not proved that it knows the secret. */
  @Test
  void aMessageBeforeTheProofClosesTheConnection() {
    Handshake unauthenticated =
        new Handshake(
            new VmId("stranger"),
            Handshake.decodeSecret("not the secret of the peers"),
            new SecureRandom());
    byte[] hello = new MessageCodec().encode(unauthenticated.hello());
    sendAndAwaitClose(
        FrameReader.prependLength(hello).appendBuffer(FrameReader.prependLength(hello)));
    assertEquals(1, rejectedFrames("unexpected_message"));
  }

  private static long rejectedFrames(String kind) {
    return daemon.metrics().counterValue("peer_frames_rejected{kind=\"" + kind + "\"}");
  }

  private static void sendAndAwaitClose(Buffer bytes) {
    NetSocket socket =
        Await.result(environment.vertx().createNetClient().connect(daemon.peerPort(), "127.0.0.1"));
    Promise<Void> closed = Promise.promise();
    socket.closeHandler(end -> closed.complete());
    socket.write(bytes);
    Await.result(closed.future());
  }
}
