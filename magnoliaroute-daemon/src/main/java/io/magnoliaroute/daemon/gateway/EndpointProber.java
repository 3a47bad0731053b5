package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointPaths;
import io.magnoliaroute.core.gateway.EngineReport;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.vertx.core.Future;
import java.util.Optional;

/**
 * Probes endpoints on behalf of the watchdog. Health checks and reports count toward the request
 * limit of an endpoint.
 */
final class EndpointProber implements Watchdog.Prober {

  private static final Future<Optional<EngineReport>> NO_REPORT =
      Future.succeededFuture(Optional.empty());

  private final RoutingState routingState;
  private final RequestPermits requestPermits;
  private final ReachabilityMonitor reachability;
  private final EndpointPaths paths;
  private final EngineReportClient reports;
  private final HealthCheckClient healthChecks;

  EndpointProber(
      RoutingState routingState,
      RequestPermits requestPermits,
      ReachabilityMonitor reachability,
      EndpointPaths paths,
      EngineReportClient reports,
      HealthCheckClient healthChecks) {
    this.routingState = routingState;
    this.requestPermits = requestPermits;
    this.reachability = reachability;
    this.paths = paths;
    this.reports = reports;
    this.healthChecks = healthChecks;
  }

  @Override
  public Future<Boolean> probe(EndpointEntry endpoint) {
    return reachability.probe(endpoint);
  }

  @Override
  public Future<Boolean> responds(EndpointEntry endpoint) {
    Optional<ServiceSpec> service =
        routingState.table().flatMap(table -> table.service(endpoint.service()));
    if (service.isEmpty()) {
      return Future.succeededFuture(false);
    }
    return requestPermits
        .acquire(endpoint, 0)
        .compose(
            permit ->
                permit.granted()
                    ? healthChecks
                        .check(endpoint, paths.relay(endpoint.id()), service.get())
                        .map(true)
                    : Future.succeededFuture(false))
        .otherwise(false);
  }

  @Override
  public boolean isUnreachable(EndpointEntry endpoint) {
    return reachability.isUnreachable(endpoint);
  }

  @Override
  public boolean mayBeSound(EndpointEntry endpoint) {
    return reachability.mayBeSound(endpoint);
  }

  @Override
  public Future<Optional<EngineReport>> fetchReport(EndpointEntry endpoint) {
    return requestPermits
        .acquire(endpoint, 0)
        .compose(permit -> permit.granted() ? fetch(endpoint) : NO_REPORT);
  }

  private Future<Optional<EngineReport>> fetch(EndpointEntry endpoint) {
    return reports
        .fetch(endpoint, paths.relay(endpoint.id()), reachability.maxConnections(endpoint))
        .map(Optional::of);
  }
}
