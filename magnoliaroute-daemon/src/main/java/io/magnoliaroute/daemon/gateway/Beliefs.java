package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointDirectory;
import io.magnoliaroute.core.gateway.RoutingTable;
import java.util.Optional;

/**
 * The blackboard: what this VM believes of the configuration and the endpoints. Followers write it,
 * the front end reads it. Used on one event loop.
 */
final class Beliefs {

  /** Living endpoints write themselves in again within about this time after an outage. */
  static final long RETURN_GRACE_MS = 2_000;

  private final EndpointDirectory endpoints = new EndpointDirectory(RETURN_GRACE_MS);
  private Optional<RoutingTable> table = Optional.empty();
  private byte[] tableBytes = {};
  private boolean endpointsKnown;

  Optional<RoutingTable> table() {
    return table;
  }

  /** Returns the configuration as the operator wrote it. */
  byte[] tableBytes() {
    return tableBytes.clone();
  }

  long tableVersion() {
    return table.map(RoutingTable::version).orElse(-1L);
  }

  EndpointDirectory endpoints() {
    return endpoints;
  }

  /** Takes a configuration unless a newer one is in force; returns whether it was taken. */
  boolean offerTable(RoutingTable offered, byte[] bytes) {
    if (offered.version() <= tableVersion()) {
      return false;
    }
    table = Optional.of(offered);
    tableBytes = bytes.clone();
    return true;
  }

  /** Notes that a listing of the endpoints has been read. */
  void endpointsKnown() {
    endpointsKnown = true;
  }

  /** Returns whether requests can be routed. */
  boolean isComplete() {
    return table.isPresent() && endpointsKnown;
  }
}
