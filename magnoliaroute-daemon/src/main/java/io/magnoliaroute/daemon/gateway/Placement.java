package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptHistory;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointSelector;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.vertx.core.Future;
import java.util.Optional;

/**
 * Selects the endpoints for the attempts of one request: those that its earlier attempts and the
 * version of its stream leave. Confined to one event loop.
 */
final class Placement {

  private final GatewayContext gateway;
  private final RequestMetadata metadata;
  private final String service;
  private final boolean isStream;
  private final StreamBinding stream;
  private final AttemptHistory history;

  Placement(
      GatewayContext gateway,
      RequestMetadata metadata,
      String service,
      boolean isStream,
      StreamBinding stream,
      AttemptHistory history) {
    this.gateway = gateway;
    this.metadata = metadata;
    this.service = service;
    this.isStream = isStream;
    this.stream = stream;
    this.history = history;
  }

  /** Selects the endpoint for the next attempt. */
  Optional<EndpointSelector.Selection> select() {
    return gateway
        .endpointSelector()
        .select(service, metadata, this::isEligible, this::isPreferred, gateway.clock().millis());
  }

  /** Probes whether any endpoint that may serve the request accepts connections. */
  Future<Boolean> anyReachable() {
    return gateway.reachability().anyReachable(service, stream::allows);
  }

  private boolean isEligible(EndpointEntry endpoint) {
    return stream.allows(endpoint) && !history.avoidedEndpoints().contains(endpoint.id());
  }

  private boolean isPreferred(EndpointEntry endpoint) {
    return !isStream || stream.prefers(endpoint);
  }
}
