package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.model.EndpointId;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Tracks which endpoints accept connections from this VM. An unreachable endpoint gets no requests
 * until a probe succeeds. When an endpoint becomes unreachable, this VM also probes the other
 * endpoints of its data centre, and the other VMs probe that endpoint. Used on one event loop.
 */
final class ReachabilityMonitor {

  /** An endpoint probed within this time is not probed again on account of other failures. */
  private static final long RECENT_PROBE_MS = 500;

  /**
   * An endpoint that failed within this time, the connect time-out, is not probed again for a
   * request that finds all endpoints unreachable.
   */
  private static final long RECENT_FAILURE_MS = EndpointConnectionPool.CONNECT_TIMEOUT_MS;

  private final RoutingState routingState;
  private final EndpointLoadTracker loads;
  private final EndpointConnectionPool connections;
  private final InstantSource clock;
  private final DecisionLog log;
  private final Map<EndpointId, Future<Boolean>> runningProbes = new HashMap<>();
  private final Map<EndpointId, Long> lastProbeMs = new HashMap<>();
  private final Map<EndpointId, Long> lastFailureMs = new HashMap<>();
  private Consumer<EndpointId> listener = endpoint -> {};

  ReachabilityMonitor(
      RoutingState routingState,
      EndpointLoadTracker loads,
      EndpointConnectionPool connections,
      InstantSource clock,
      DecisionLog log) {
    this.routingState = routingState;
    this.loads = loads;
    this.connections = connections;
    this.clock = clock;
    this.log = log;
  }

  /** Sets the listener that notifies the other VMs of an unreachable endpoint. */
  void setListener(Consumer<EndpointId> newListener) {
    listener = newListener;
  }

  /** Marks the endpoint as unreachable; on a change, probes the others of its data centre. */
  void markUnreachable(EndpointEntry endpoint, String cause) {
    lastFailureMs.put(endpoint.id(), clock.millis());
    if (!loads.markUnreachable(endpoint.id(), clock.millis())) {
      return;
    }
    log.line("endpoint_lost")
        .put("endpoint", endpoint.id().value())
        .put("data_centre", endpoint.dataCentre())
        .put("cause", cause)
        .write();
    listener.accept(endpoint.id());
    for (EndpointEntry each : routingState.endpoints().entries()) {
      if (each.dataCentre().equals(endpoint.dataCentre()) && !each.id().equals(endpoint.id())) {
        probeUnlessRecent(each);
      }
    }
  }

  /** Probes an endpoint that another VM reported as unreachable. */
  void onUnreachableReport(EndpointId endpoint) {
    routingState.endpoints().find(endpoint).ifPresent(this::probeUnlessRecent);
  }

  /** Probes the unreachable endpoints whose backoff has elapsed. */
  void probeUnreachable() {
    for (EndpointEntry each : routingState.endpoints().entries()) {
      if (loads.isProbeDue(each.id(), clock.millis())) {
        probe(each);
      }
    }
  }

  /**
   * Returns whether any eligible endpoint of the service accepts connections, for a request that
   * finds all of them unreachable. Probes all endpoints that have not just failed in parallel, and
   * completes when the first of them accepts.
   */
  Future<Boolean> anyReachable(String service, Predicate<EndpointEntry> eligible) {
    List<Future<Boolean>> probes = new ArrayList<>();
    for (EndpointEntry each : routingState.endpoints().usableEndpoints(service, clock.millis())) {
      if (!eligible.test(each)) {
        continue;
      }
      if (!loads.isUnreachable(each.id())) {
        return Future.succeededFuture(true);
      }
      if (clock.millis() - lastFailureMs.getOrDefault(each.id(), Long.MIN_VALUE / 2)
          >= RECENT_FAILURE_MS) {
        probes.add(probe(each).map(ReachabilityMonitor::failUnlessReached));
      }
    }
    return probes.isEmpty()
        ? Future.succeededFuture(false)
        : Future.any(probes).map(true).otherwise(false);
  }

  private static boolean failUnlessReached(boolean accepted) {
    if (!accepted) {
      throw new NoSuchElementException("the endpoint does not accept connections");
    }
    return true;
  }

  /** Opens a connection, which stays in the pool, and returns whether it was accepted. */
  Future<Boolean> probe(EndpointEntry endpoint) {
    Future<Boolean> running = runningProbes.get(endpoint.id());
    if (running != null) {
      return running;
    }
    lastProbeMs.put(endpoint.id(), clock.millis());
    Promise<Boolean> probe = Promise.promise();
    runningProbes.put(endpoint.id(), probe.future());
    connections
        .probe(endpoint, maxConnections(endpoint))
        .otherwise(false)
        .onSuccess(
            accepted -> {
              runningProbes.remove(endpoint.id());
              if (accepted) {
                markReachable(endpoint);
              } else {
                markUnreachable(endpoint, "probe");
              }
              probe.complete(accepted);
            });
    return probe.future();
  }

  private void markReachable(EndpointEntry endpoint) {
    if (loads.isUnreachable(endpoint.id())) {
      log.line("endpoint_regained").put("endpoint", endpoint.id().value()).write();
    }
    loads.markReachable(endpoint.id());
  }

  private void probeUnlessRecent(EndpointEntry endpoint) {
    long lastMs = lastProbeMs.getOrDefault(endpoint.id(), Long.MIN_VALUE / 2);
    if (!loads.isUnreachable(endpoint.id()) && clock.millis() - lastMs >= RECENT_PROBE_MS) {
      loads.markSuspect(endpoint.id());
      probe(endpoint);
    }
  }

  int maxConnections(EndpointEntry endpoint) {
    return routingState
        .table()
        .flatMap(table -> table.service(endpoint.service()))
        .map(ServiceSpec::maxConnections)
        .orElse(1);
  }
}
