package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.wire.FrameReader;
import io.magnoliaroute.wire.MessageCodec;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/** Sends single messages to a VM, as another VM would, on a connection each. */
final class TestPeer {

  private static final long CLOSE_TIMEOUT_MS = 2_000;

  private final Vertx vertx;
  private final int port;

  TestPeer(Vertx vertx, int port) {
    this.vertx = vertx;
    this.port = port;
  }

  /** Returns whether the VM closes the connection after the message. */
  boolean isClosedAfter(PeerMessage message) {
    Promise<Boolean> closed = Promise.promise();
    vertx
        .createNetClient()
        .connect(port, "127.0.0.1")
        .onFailure(closed::tryFail)
        .onSuccess(
            socket -> {
              socket.closeHandler(end -> closed.tryComplete(true));
              socket.write(FrameReader.prependLength(new MessageCodec().encode(message)));
            });
    vertx.setTimer(CLOSE_TIMEOUT_MS, fired -> closed.tryComplete(false));
    return Await.result(closed.future());
  }

  /** Returns the first bytes that the VM replies to the message. */
  Buffer reply(PeerMessage message) {
    Promise<Buffer> reply = Promise.promise();
    vertx
        .createNetClient()
        .connect(port, "127.0.0.1")
        .onFailure(reply::tryFail)
        .onSuccess(
            socket -> {
              socket.handler(reply::tryComplete);
              socket.write(FrameReader.prependLength(new MessageCodec().encode(message)));
            });
    return Await.result(reply.future());
  }
}
