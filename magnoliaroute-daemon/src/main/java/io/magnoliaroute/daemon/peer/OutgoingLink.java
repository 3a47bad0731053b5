package io.magnoliaroute.daemon.peer;

import io.magnoliaroute.core.membership.PeerAddress;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The outgoing connection to one peer. Messages are queued while the connection is being
 * established. After a failed attempt, reconnects are delayed by exponential backoff with jitter,
 * and messages sent during the backoff fail immediately.
 */
final class OutgoingLink {

  private static final int MAX_WAITING = 1_000;
  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 2_000;
  private static final int MAX_DOUBLINGS = 6;

  private record Waiting(PeerMessage message, Promise<Void> written) {}

  private final VmId peer;
  private final Function<PeerAddress, Future<PeerLink>> connector;
  private final Vertx vertx;
  private final RandomGenerator random;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private PeerLink pending;
  private PeerLink link;
  private boolean connecting;
  private boolean backingOff;
  private boolean closed;
  private int failures;

  OutgoingLink(
      VmId peer,
      Function<PeerAddress, Future<PeerLink>> connector,
      Vertx vertx,
      RandomGenerator random) {
    this.peer = peer;
    this.connector = connector;
    this.vertx = vertx;
    this.random = random;
  }

  Future<Void> send(PeerMessage message, PeerAddress address) {
    if (link != null) {
      link.send(message);
      return Future.succeededFuture();
    }
    if (backingOff || waiting.size() >= MAX_WAITING) {
      return Future.failedFuture("no connection to " + peer);
    }
    Promise<Void> written = Promise.promise();
    waiting.add(new Waiting(message, written));
    connect(address);
    return written.future();
  }

  void authenticated(PeerLink opened) {
    if (closed || !peer.equals(opened.peer())) {
      opened.close();
      return;
    }
    link = opened;
    pending = null;
    connecting = false;
    failures = 0;
    while (!waiting.isEmpty()) {
      Waiting next = waiting.poll();
      opened.send(next.message());
      next.written().complete();
    }
  }

  /**
   * Handles the end of a connection.
   *
   * @return whether it was the established connection
   */
  boolean closed(PeerLink ended) {
    if (ended == link) {
      link = null;
      return true;
    }
    if (ended == pending) {
      pending = null;
      failed();
    }
    return false;
  }

  void close() {
    closed = true;
    if (link != null) {
      link.close();
      link = null;
    }
    dropWaiting();
  }

  private void connect(PeerAddress address) {
    if (connecting) {
      return;
    }
    connecting = true;
    connector
        .apply(address)
        .onSuccess(
            opened -> {
              if (!opened.isAuthenticated()) {
                pending = opened;
              }
            })
        .onFailure(failure -> failed());
  }

  private void failed() {
    connecting = false;
    dropWaiting();
    if (closed) {
      return;
    }
    long backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    backingOff = true;
    vertx.setTimer(backoffMs / 2 + 1 + random.nextLong(backoffMs / 2), timer -> backingOff = false);
  }

  private void dropWaiting() {
    while (!waiting.isEmpty()) {
      waiting.poll().written().fail("no connection to " + peer);
    }
  }
}
