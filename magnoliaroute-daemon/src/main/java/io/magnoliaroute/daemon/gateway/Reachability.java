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

/**
 * Tracks which endpoints accept connections from this VM. An unreachable endpoint gets no requests
 * until a probe succeeds. When an endpoint becomes unreachable, this VM also probes the other
 * endpoints of its data centre, and the other VMs probe that endpoint. Used on one event loop.
 */
final class Reachability {

  /** An endpoint probed within this time is not probed again on account of other failures. */
  private static final long FRESH_MS = 500;

  /** An endpoint that failed within this time, one connection attempt, is not probed. */
  private static final long JUST_LOST_MS = EndpointConnections.CONNECT_TIMEOUT_MS;

  private final Beliefs beliefs;
  private final EndpointLoadTracker loads;
  private final EndpointConnections connections;
  private final InstantSource clock;
  private final DecisionLog log;
  private final Map<EndpointId, Future<Boolean>> probing = new HashMap<>();
  private final Map<EndpointId, Long> probedAtMs = new HashMap<>();
  private final Map<EndpointId, Long> lostAtMs = new HashMap<>();
  private Consumer<EndpointId> announce = endpoint -> {};

  Reachability(
      Beliefs routingState,
      EndpointLoadTracker loads,
      EndpointConnections connections,
      InstantSource clock,
      DecisionLog log) {
    this.beliefs = routingState;
    this.loads = loads;
    this.connections = connections;
    this.clock = clock;
    this.log = log;
  }

  /** Sets the listener that notifies the other VMs of an unreachable endpoint. */
  void announceTo(Consumer<EndpointId> newListener) {
    announce = newListener;
  }

  /** Marks the endpoint as unreachable; on a change, probes the others of its data centre. */
  void lost(EndpointEntry endpoint, String cause) {
    lostAtMs.put(endpoint.id(), clock.millis());
    if (!loads.markUnreachable(endpoint.id(), clock.millis())) {
      return;
    }
    log.line("endpoint_lost")
        .put("endpoint", endpoint.id().value())
        .put("data_centre", endpoint.dataCentre())
        .put("cause", cause)
        .write();
    announce.accept(endpoint.id());
    for (EndpointEntry each : beliefs.endpoints().entries()) {
      if (each.dataCentre().equals(endpoint.dataCentre()) && !each.id().equals(endpoint.id())) {
        probeUnlessFresh(each);
      }
    }
  }

  /** Probes an endpoint that another VM reported as unreachable. */
  void lostElsewhere(EndpointId endpoint) {
    beliefs.endpoints().find(endpoint).ifPresent(this::probeUnlessFresh);
  }

  /** Probes the unreachable endpoints whose backoff has elapsed. */
  void probeLost() {
    for (EndpointEntry each : beliefs.endpoints().entries()) {
      if (loads.isProbeDue(each.id(), clock.millis())) {
        probe(each);
      }
    }
  }

  /**
   * Returns whether any endpoint of the service accepts connections, for a request that finds all
   * of them unreachable. Probes all endpoints that have not just failed at once, and completes with
   * the first that accepts.
   */
  Future<Boolean> anyReachable(String service) {
    List<Future<Boolean>> probes = new ArrayList<>();
    for (EndpointEntry each : beliefs.endpoints().usableEndpoints(service, clock.millis())) {
      if (!loads.isUnreachable(each.id())) {
        return Future.succeededFuture(true);
      }
      if (clock.millis() - lostAtMs.getOrDefault(each.id(), Long.MIN_VALUE / 2) >= JUST_LOST_MS) {
        probes.add(probe(each).map(Reachability::orFail));
      }
    }
    return probes.isEmpty()
        ? Future.succeededFuture(false)
        : Future.any(probes).map(true).otherwise(false);
  }

  private static boolean orFail(boolean accepted) {
    if (!accepted) {
      throw new NoSuchElementException("the endpoint does not accept connections");
    }
    return true;
  }

  /** Opens a connection, which stays in the pool, and returns whether it was accepted. */
  Future<Boolean> probe(EndpointEntry endpoint) {
    Future<Boolean> running = probing.get(endpoint.id());
    if (running != null) {
      return running;
    }
    probedAtMs.put(endpoint.id(), clock.millis());
    Promise<Boolean> probe = Promise.promise();
    probing.put(endpoint.id(), probe.future());
    connections
        .probe(endpoint, acceptedConnections(endpoint))
        .otherwise(false)
        .onSuccess(
            accepted -> {
              probing.remove(endpoint.id());
              if (accepted) {
                reached(endpoint);
              } else {
                lost(endpoint, "probe");
              }
              probe.complete(accepted);
            });
    return probe.future();
  }

  private void reached(EndpointEntry endpoint) {
    if (loads.isUnreachable(endpoint.id())) {
      log.line("endpoint_regained").put("endpoint", endpoint.id().value()).write();
    }
    loads.markReachable(endpoint.id());
  }

  private void probeUnlessFresh(EndpointEntry endpoint) {
    long lastMs = probedAtMs.getOrDefault(endpoint.id(), Long.MIN_VALUE / 2);
    if (!loads.isUnreachable(endpoint.id()) && clock.millis() - lastMs >= FRESH_MS) {
      loads.markSuspect(endpoint.id());
      probe(endpoint);
    }
  }

  int acceptedConnections(EndpointEntry endpoint) {
    return beliefs
        .table()
        .flatMap(table -> table.service(endpoint.service()))
        .map(ServiceSpec::maxConnections)
        .orElse(1);
  }
}
