package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointTombstone;
import java.util.function.Consumer;

/**
 * Records endpoints that report their shutdown in a response, which may come before the platform
 * lists them as draining, or without it ever doing so. Used on one event loop.
 */
final class DepartureTracker {

  private final RoutingState routingState;
  private final EndpointConnectionPool connections;
  private final DecisionLog log;
  private Consumer<EndpointTombstone> listener = departure -> {};

  DepartureTracker(RoutingState routingState, EndpointConnectionPool connections, DecisionLog log) {
    this.routingState = routingState;
    this.connections = connections;
    this.log = log;
  }

  /** Sets the listener that notifies the other VMs of a departure. */
  void setListener(Consumer<EndpointTombstone> newListener) {
    listener = newListener;
  }

  /** Handles a response in which the endpoint reports its shutdown: it gets no more requests. */
  void onShutdownReport(EndpointEntry endpoint) {
    EndpointTombstone departure =
        new EndpointTombstone(endpoint.id(), endpoint.startedAtMs(), EndpointTombstone.ALL_ENTRIES);
    if (recordDeparture(departure, "answer")) {
      connections.closeIdle(endpoint.id());
      listener.accept(departure);
    }
  }

  /** Records the departure of an endpoint; returns whether it was not known before. */
  boolean recordDeparture(EndpointTombstone departure, String source) {
    if (!routingState.endpoints().applyTombstone(departure)) {
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
