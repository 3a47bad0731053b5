package io.magnoliaroute.daemon.gateway;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits the number of accepted connections: beyond it, the connection that has been silent for
 * longest is closed. Confined to one event loop.
 */
final class ConnectionLimiter<C> {

  private final int maxOpen;
  private final Consumer<C> closer;
  private final Set<C> connections = new LinkedHashSet<>();

  /**
   * Creates a limiter without connections.
   *
   * @param closer closes a connection that has to give way
   */
  ConnectionLimiter(int maxOpen, Consumer<C> closer) {
    this.maxOpen = maxOpen;
    this.closer = closer;
  }

  /** Adds a new connection and closes another one if the limit is exceeded. */
  void add(C connection) {
    connections.add(connection);
    if (connections.size() > maxOpen) {
      Iterator<C> longestSilent = connections.iterator();
      C closed = longestSilent.next();
      longestSilent.remove();
      closer.accept(closed);
    }
  }

  /** Records that the connection has received bytes; ignores one that has been removed. */
  void recordActivity(C connection) {
    if (connections.remove(connection)) {
      connections.add(connection);
    }
  }

  /** Stops counting a connection. */
  void remove(C connection) {
    connections.remove(connection);
  }
}
