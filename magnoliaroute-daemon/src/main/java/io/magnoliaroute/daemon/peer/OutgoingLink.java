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

  private static final int MAX_QUEUED_MESSAGES = 1_000;
  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 2_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private record QueuedMessage(PeerMessage message, Promise<Void> written) {}

  private final VmId peer;
  private final Function<PeerAddress, Future<PeerLink>> connector;
  private final Vertx vertx;
  private final RandomGenerator random;
  private final Deque<QueuedMessage> queue = new ArrayDeque<>();
  private PeerLink unauthenticatedLink;
  private PeerLink link;
  private boolean connecting;
  private boolean backingOff;
  private boolean closed;
  private int consecutiveFailures;

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
    if (backingOff || queue.size() >= MAX_QUEUED_MESSAGES) {
      return Future.failedFuture("no connection to " + peer);
    }
    Promise<Void> written = Promise.promise();
    queue.add(new QueuedMessage(message, written));
    connect(address);
    return written.future();
  }

  void handleAuthenticated(PeerLink opened) {
    if (closed || !peer.equals(opened.peer())) {
      opened.close();
      return;
    }
    link = opened;
    unauthenticatedLink = null;
    connecting = false;
    consecutiveFailures = 0;
    while (!queue.isEmpty()) {
      QueuedMessage next = queue.poll();
      opened.send(next.message());
      next.written().complete();
    }
  }

  /**
   * Handles the end of a connection.
   *
   * @return whether it was the established connection
   */
  boolean handleClosed(PeerLink ended) {
    if (ended == link) {
      link = null;
      return true;
    }
    if (ended == unauthenticatedLink) {
      unauthenticatedLink = null;
      handleConnectFailure();
    }
    return false;
  }

  void close() {
    closed = true;
    if (link != null) {
      link.close();
      link = null;
    }
    failQueuedMessages();
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
                unauthenticatedLink = opened;
              }
            })
        .onFailure(failure -> handleConnectFailure());
  }

  private void handleConnectFailure() {
    connecting = false;
    failQueuedMessages();
    if (closed) {
      return;
    }
    long backoffMs =
        Math.min(
            MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS));
    consecutiveFailures++;
    backingOff = true;
    vertx.setTimer(backoffMs / 2 + 1 + random.nextLong(backoffMs / 2), timer -> backingOff = false);
  }

  private void failQueuedMessages() {
    while (!queue.isEmpty()) {
      queue.poll().written().fail("no connection to " + peer);
    }
  }
}
