package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointDirectory;
import io.magnoliaroute.core.gateway.RoutingTable;
import java.util.Optional;

/**
 * This VM's current view of the configuration and the endpoints, from which requests are routed.
 * Updated from the store and from peers. Used on one event loop.
 */
final class RoutingState {

  private final EndpointDirectory endpoints = new EndpointDirectory();
  private Optional<RoutingTable> table = Optional.empty();
  private byte[] tableBytes = {};
  private boolean endpointsKnown;
  private long endpointsOffset = -1;

  Optional<RoutingTable> table() {
    return table;
  }

  /** Returns the configuration as the operator published it, with key hashes in place of keys. */
  byte[] tableBytes() {
    return tableBytes.clone();
  }

  long tableVersion() {
    return table.map(RoutingTable::version).orElse(-1L);
  }

  EndpointDirectory endpoints() {
    return endpoints;
  }

  /** Applies a configuration that is newer than the current one; returns whether it did. */
  boolean applyTableIfNewer(RoutingTable newTable, byte[] bytes) {
    if (newTable.version() <= tableVersion()) {
      return false;
    }
    table = Optional.of(newTable);
    tableBytes = bytes.clone();
    return true;
  }

  /**
   * Returns the offset in the store up to which this VM's view includes the endpoints' entries;
   * negative while it has no view.
   */
  long endpointsOffset() {
    return endpointsOffset;
  }

  /** Records that this VM's view includes the endpoints' entries up to an offset. */
  void recordEndpointsOffset(long offset) {
    endpointsOffset = Math.max(endpointsOffset, offset);
  }

  /** Marks the endpoints as known after a listing of them has been read. */
  void markEndpointsKnown() {
    endpointsKnown = true;
  }

  /** Returns whether requests can be routed: a configuration and the endpoints are known. */
  boolean canRoute() {
    return table.isPresent() && endpointsKnown;
  }
}
