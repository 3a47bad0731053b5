package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RequestMetadata;
import io.magnoliaroute.core.gateway.ServiceVersion;
import io.vertx.core.Future;
import java.util.Optional;

/**
 * Binds the stream of one request to the software version of the endpoint that delivers, or has
 * delivered, its first event. Confined to one event loop.
 */
final class StreamBinding {

  private final GatewayContext gateway;
  private final RequestMetadata metadata;
  private final String service;
  private Optional<String> softwareVersion = Optional.empty();

  StreamBinding(GatewayContext gateway, RequestMetadata metadata, String service) {
    this.gateway = gateway;
    this.metadata = metadata;
    this.service = service;
  }

  /** Returns whether the client resumes a stream that an earlier request began. */
  boolean isResumption() {
    return metadata.lastEventId().isPresent();
  }

  /**
   * Binds the resumed stream to the version that began it; completes with whether that version is
   * known. Never fails.
   */
  Future<Boolean> bindResumed() {
    return gateway
        .streamVersions()
        .find(metadata, service)
        .map(
            version -> {
              softwareVersion = version;
              return version.isPresent();
            });
  }

  /** Binds the stream, unless it is bound already, to the endpoint that delivers its events. */
  void bindTo(EndpointEntry endpoint) {
    if (softwareVersion.isEmpty()) {
      softwareVersion = Optional.of(endpoint.softwareVersion());
      gateway
          .streamVersions()
          .recordBegin(
              metadata.requestId(), new ServiceVersion(service, endpoint.softwareVersion()));
    }
  }

  /** Returns whether the endpoint may deliver the next events of the stream. */
  boolean allows(EndpointEntry endpoint) {
    return softwareVersion.isEmpty() || softwareVersion.get().equals(endpoint.softwareVersion());
  }

  /** Returns whether the endpoint's version is bound, or may begin streams without a risk. */
  boolean prefers(EndpointEntry endpoint) {
    return softwareVersion.isPresent()
        || gateway.streamVersions().isSettled(endpoint, gateway.clock().millis());
  }

  /** Returns whether any usable endpoint of the service may deliver the next events. */
  boolean hasEndpoint() {
    return softwareVersion.isEmpty()
        || gateway
            .routingState()
            .endpoints()
            .usableEndpoints(service, gateway.clock().millis())
            .stream()
            .anyMatch(this::allows);
  }
}
