package io.magnoliaroute.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.TestWorld;
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

/** The peer port closes connections that do not follow the protocol, and counts why. */
final class PeerFramesTest {

  private static TestWorld world;
  private static Daemon daemon;

  @BeforeAll
  static void startWorld() {
    world = TestWorld.fast();
    daemon = world.startDaemon("vm-1");
  }

  @AfterAll
  static void closeWorld() {
    world.close();
  }

  /** Guards against memory that a stranger's announced length takes. */
  @Test
  void aFrameAboveTheBoundClosesTheConnection() {
    sendAndAwaitClose(Buffer.buffer().appendInt(Integer.MAX_VALUE));
    assertEquals(1, rejected("frame_length"));
  }

  /** Guards against a frame of an unknown type that is skipped in silence. */
  @Test
  void anUnknownMessageTypeClosesTheConnection() {
    sendAndAwaitClose(FrameReader.frame(new byte[] {99, (byte) 0x80}));
    assertEquals(1, rejected("unknown_type"));
  }

  /** Guards against messages from a side that has not proved the secret. */
  @Test
  void aMessageBeforeTheProofClosesTheConnection() {
    Handshake stranger =
        new Handshake(
            new VmId("stranger"),
            Handshake.secret("not the secret of the peers"),
            new SecureRandom());
    byte[] hello = new MessageCodec().encode(stranger.hello());
    sendAndAwaitClose(FrameReader.frame(hello).appendBuffer(FrameReader.frame(hello)));
    assertEquals(1, rejected("unexpected_message"));
  }

  private static long rejected(String kind) {
    return daemon.metrics().countOf("peer_frames_rejected{kind=\"" + kind + "\"}");
  }

  private static void sendAndAwaitClose(Buffer bytes) {
    NetSocket socket =
        Await.result(world.vertx().createNetClient().connect(daemon.peerPort(), "127.0.0.1"));
    Promise<Void> closed = Promise.promise();
    socket.closeHandler(end -> closed.complete());
    socket.write(bytes);
    Await.result(closed.future());
  }
}
