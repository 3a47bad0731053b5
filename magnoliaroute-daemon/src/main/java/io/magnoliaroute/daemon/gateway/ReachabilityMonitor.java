package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.AttemptFailure;
import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointPaths;
import io.magnoliaroute.core.gateway.LossEvidence;
import io.magnoliaroute.core.gateway.ServiceSpec;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Tracks which endpoints accept connections from this VM, and by which path. When the direct path
 * to an endpoint is lost, this VM searches a relay; only an endpoint that no path reaches is
 * unreachable and gets no requests until a probe succeeds. When an endpoint becomes unreachable,
 * this VM also probes the other endpoints of its data centre, and the other VMs probe that
 * endpoint. Used on one event loop.
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
  private final EndpointPaths paths;
  private final EndpointConnectionPool connections;
  private final Supplier<List<VmEntry>> relays;
  private final InstantSource clock;
  private final DecisionLog log;
  private final Map<EndpointId, Future<Boolean>> runningProbes = new HashMap<>();
  private final Map<EndpointId, Long> lastProbeMs = new HashMap<>();
  private final Map<EndpointId, Long> lastFailureMs = new HashMap<>();
  private final Set<EndpointId> runningDirectProbes = new HashSet<>();
  private final LossAssessor losses;
  private Consumer<EndpointId> listener = endpoint -> {};

  /**
   * Creates a monitor that has probed nothing yet.
   *
   * @param relays returns the VMs that may relay connections at present
   */
  ReachabilityMonitor(
      RoutingState routingState,
      EndpointLoadTracker loads,
      EndpointPaths paths,
      EndpointConnectionPool connections,
      Supplier<List<VmEntry>> relays,
      InstantSource clock,
      DecisionLog log) {
    this.routingState = routingState;
    this.loads = loads;
    this.paths = paths;
    this.connections = connections;
    this.relays = relays;
    this.clock = clock;
    this.log = log;
    this.losses = new LossAssessor(routingState, loads, paths, connections, clock);
  }

  /** Sets the listener that notifies the other VMs of an unreachable endpoint. */
  void setListener(Consumer<EndpointId> newListener) {
    listener = newListener;
  }

  /**
   * Handles a failure to connect: searches another path.
   *
   * @param relay the VM through which the connection should have led; empty if it was direct
   * @return whether the endpoint is reachable by another path
   */
  Future<Boolean> onConnectFailure(
      EndpointEntry endpoint, Optional<VmEntry> relay, Throwable cause) {
    Future<Boolean> running = runningProbes.get(endpoint.id());
    if (running != null) {
      return running;
    }
    if (relay.isEmpty() ? paths.relay(endpoint.id()).isPresent() : !isCurrent(endpoint, relay)) {
      return Future.succeededFuture(true);
    }
    return track(endpoint, () -> replacePath(endpoint, relay, cause));
  }

  /** Returns whether any path reaches the endpoint, once a search that is running has ended. */
  Future<Boolean> awaitSearch(EndpointEntry endpoint) {
    Future<Boolean> running = runningProbes.get(endpoint.id());
    return running != null ? running : Future.succeededFuture(!loads.isUnreachable(endpoint.id()));
  }

  boolean isUnreachable(EndpointEntry endpoint) {
    return loads.isUnreachable(endpoint.id());
  }

  /** Returns what this VM knows of an endpoint after an attempt there has failed. */
  LossEvidence evidence(EndpointEntry endpoint, AttemptFailure failure) {
    return switch (failure) {
      case NOT_CONNECTED, UNREACHABLE ->
          runningProbes.containsKey(endpoint.id()) ? LossEvidence.NONE : losses.evidence(endpoint);
      case REFUSED_GONE -> LossEvidence.REPLACED;
      default -> LossEvidence.NONE;
    };
  }

  /** Returns whether an endpoint without a connection may be sound and go on with its requests. */
  boolean mayBeSound(EndpointEntry endpoint) {
    return runningProbes.containsKey(endpoint.id()) || !losses.evidence(endpoint).isProof();
  }

  /** Returns whether the process of an unreachable endpoint may have ended. */
  boolean mayHaveCrashed(EndpointEntry endpoint) {
    return losses.mayHaveCrashed(endpoint.id());
  }

  private boolean isCurrent(EndpointEntry endpoint, Optional<VmEntry> relay) {
    return paths.relay(endpoint.id()).equals(relay);
  }

  private Future<Boolean> replacePath(
      EndpointEntry endpoint, Optional<VmEntry> lostRelay, Throwable cause) {
    long nowMs = clock.millis();
    if (lostRelay.isEmpty()) {
      losses.recordDirectFailure(endpoint.id(), cause);
    }
    boolean wasDirect = lostRelay.isEmpty() && paths.markDirectLost(endpoint.id(), nowMs);
    lostRelay.ifPresent(relay -> paths.markRelayFailed(relay.vm(), endpoint.id(), nowMs));
    connections.markPathLost(endpoint.id(), lostRelay);
    boolean wasReachable = loads.markUnreachable(endpoint.id(), nowMs);
    List<VmEntry> candidates = paths.relayCandidates(endpoint, relays.get(), nowMs);
    return new RelaySearch(candidates, relay -> probeRelay(endpoint, relay))
        .start()
        .map(
            found -> {
              if (found.isEmpty()) {
                recordUnreachable(endpoint, wasReachable, cause.getMessage());
                return false;
              }
              paths.useRelay(endpoint.id(), found.get());
              markReachable(endpoint);
              logPath(endpoint, found.get().vm().value(), cause.getMessage());
              if (wasDirect) {
                probeConnectedEndpoints(endpoint);
              }
              return true;
            });
  }

  private Future<Boolean> probeRelay(EndpointEntry endpoint, VmEntry relay) {
    return connections
        .probe(endpoint, Optional.of(relay), maxConnections(endpoint))
        .transform(done -> Future.succeededFuture(done.succeeded()))
        .onSuccess(
            accepted -> {
              if (!accepted) {
                paths.markRelayFailed(relay.vm(), endpoint.id(), clock.millis());
              }
            });
  }

  private void recordUnreachable(EndpointEntry endpoint, boolean wasReachable, String cause) {
    lastFailureMs.put(endpoint.id(), clock.millis());
    if (!wasReachable) {
      return;
    }
    log.line("endpoint_lost")
        .put("endpoint", endpoint.id().value())
        .put("data_centre", endpoint.dataCentre())
        .put("cause", String.valueOf(cause))
        .write();
    listener.accept(endpoint.id());
    for (EndpointEntry each : routingState.endpoints().entries()) {
      if (each.dataCentre().equals(endpoint.dataCentre()) && !each.id().equals(endpoint.id())) {
        probeUnlessRecent(each);
      }
    }
  }

  // A direct path that is lost while a relay reaches the endpoint is a fault of this VM's network,
  // which may affect its paths to all other endpoints as well.
  private void probeConnectedEndpoints(EndpointEntry lost) {
    for (EndpointEntry each : routingState.endpoints().entries()) {
      if (!each.id().equals(lost.id())
          && paths.isDirect(each.id())
          && connections.isConnected(each.id())) {
        probeUnlessRecent(each);
      }
    }
  }

  private void logPath(EndpointEntry endpoint, String path, String cause) {
    log.line("endpoint_path_changed")
        .put("endpoint", endpoint.id().value())
        .put("path", path)
        .put("cause", String.valueOf(cause))
        .write();
  }

  /** Probes an endpoint that another VM reported as unreachable. */
  void onUnreachableReport(EndpointId endpoint) {
    routingState.endpoints().find(endpoint).ifPresent(this::probeUnlessRecent);
  }

  /**
   * Probes the unreachable endpoints and the lost direct paths whose backoff has elapsed, and
   * replaces relays that have left.
   */
  void probeLostPaths() {
    List<VmEntry> available = relays.get();
    for (EndpointEntry each : routingState.endpoints().entries()) {
      Optional<VmEntry> relay = paths.relay(each.id());
      if (loads.isProbeDue(each.id(), clock.millis())) {
        probe(each);
      } else if (relay.isPresent() && !available.contains(relay.get())) {
        onConnectFailure(each, relay, new NoSuchElementException("relay left"));
      } else if (paths.isDirectProbeDue(each.id(), clock.millis())) {
        probeDirectPath(each);
      }
    }
  }

  /** Removes the state of paths to endpoints that are no longer listed. */
  void removeUnlisted() {
    List<EndpointId> listed =
        routingState.endpoints().entries().stream().map(EndpointEntry::id).toList();
    paths.retain(listed, clock.millis());
    losses.retain(listed);
  }

  private void probeDirectPath(EndpointEntry endpoint) {
    if (!runningDirectProbes.add(endpoint.id())) {
      return;
    }
    connections
        .open(endpoint, Optional.empty(), maxConnections(endpoint))
        .onComplete(
            opened -> {
              runningDirectProbes.remove(endpoint.id());
              if (opened.failed()) {
                paths.markDirectLost(endpoint.id(), clock.millis());
                return;
              }
              connections.release(opened.result(), Optional.empty());
              Optional<VmEntry> relay = paths.relay(endpoint.id());
              if (paths.markDirectRestored(endpoint.id())) {
                connections.closeIdle(endpoint.id(), relay);
                markReachable(endpoint);
                logPath(endpoint, "direct", "probe");
              }
            });
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
      if (runningProbes.containsKey(each.id())
          || clock.millis() - lastFailureMs.getOrDefault(each.id(), Long.MIN_VALUE / 2)
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

  /**
   * Opens a connection, which stays in the pool, and returns whether it was accepted. If the
   * current path fails, searches another one.
   */
  Future<Boolean> probe(EndpointEntry endpoint) {
    Future<Boolean> running = runningProbes.get(endpoint.id());
    return running != null ? running : track(endpoint, () -> probeCurrentPath(endpoint));
  }

  private Future<Boolean> track(EndpointEntry endpoint, Supplier<Future<Boolean>> step) {
    lastProbeMs.put(endpoint.id(), clock.millis());
    Promise<Boolean> probe = Promise.promise();
    runningProbes.put(endpoint.id(), probe.future());
    // A probe that ends with an unexpected error must not count as running for ever.
    Future.succeededFuture()
        .compose(started -> step.get())
        .onFailure(e -> logError(endpoint, e))
        .otherwise(false)
        .onSuccess(
            reached -> {
              runningProbes.remove(endpoint.id());
              probe.complete(reached);
            });
    return probe.future();
  }

  private void logError(EndpointEntry endpoint, Throwable error) {
    log.line("internal_error")
        .put("step", "probe " + endpoint.id())
        .put("problem", String.valueOf(error))
        .write();
  }

  private Future<Boolean> probeCurrentPath(EndpointEntry endpoint) {
    Optional<VmEntry> relay = paths.relay(endpoint.id());
    return connections
        .probe(endpoint, relay, maxConnections(endpoint))
        .transform(
            done -> {
              if (done.failed()) {
                return replacePath(endpoint, relay, done.cause());
              }
              if (relay.isEmpty()) {
                paths.markDirectRestored(endpoint.id());
              }
              markReachable(endpoint);
              return Future.succeededFuture(true);
            });
  }

  private void markReachable(EndpointEntry endpoint) {
    if (loads.isUnreachable(endpoint.id())) {
      log.line("endpoint_regained").put("endpoint", endpoint.id().value()).write();
    }
    loads.markReachable(endpoint.id());
    losses.clear(endpoint.id());
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
