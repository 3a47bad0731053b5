package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointTombstone;
import java.util.function.Consumer;

/**
 * Records endpoints that report their shutdown in a response, which may come before the platform
 * lists them as draining, or without it ever doing so. Used on one event loop.
 */
final class Departures {

  private final Beliefs beliefs;
  private final EndpointConnections connections;
  private final DecisionLog log;
  private Consumer<EndpointTombstone> announce = departure -> {};

  Departures(Beliefs routingState, EndpointConnections connections, DecisionLog log) {
    this.beliefs = routingState;
    this.connections = connections;
    this.log = log;
  }

  /** Sets the listener that notifies the other VMs of a departure. */
  void announceTo(Consumer<EndpointTombstone> newListener) {
    announce = newListener;
  }

  /** Handles a response in which the endpoint reports its shutdown: it gets no more requests. */
  void saidBy(EndpointEntry endpoint) {
    EndpointTombstone departure =
        new EndpointTombstone(endpoint.id(), endpoint.startedAtMs(), EndpointTombstone.ALL_ENTRIES);
    if (note(departure, "answer")) {
      connections.closeIdle(endpoint.id());
      announce.accept(departure);
    }
  }

  /** Records the departure of an endpoint; returns whether it was not known before. */
  boolean note(EndpointTombstone departure, String source) {
    if (!beliefs.endpoints().applyTombstone(departure)) {
      return false;
    }
    log.line("endpoint_gone")
        .put("endpoint", departure.id().value())
        .put("started_at_ms", departure.startedAtMs())
        .put("source", source)
        .write();
    return true;
  }
}
