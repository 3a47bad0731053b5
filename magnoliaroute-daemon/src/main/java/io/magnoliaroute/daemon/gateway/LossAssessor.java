package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointPaths;
import io.magnoliaroute.core.gateway.LossEvidence;
import io.magnoliaroute.core.model.EndpointId;
import io.netty.channel.ConnectTimeoutException;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Assesses what failed connections show of an endpoint: whether its process has ended, or whether
 * it may be sound. Confined to one event loop.
 */
final class LossAssessor {

  /** Age of a contact with another endpoint that shows that this VM's own network works. */
  private static final long MAX_CONTACT_AGE_MS = 500;

  private final RoutingState routingState;
  private final EndpointLoadTracker loads;
  private final EndpointPaths paths;
  private final EndpointConnectionPool connections;
  private final InstantSource clock;
  private final Set<EndpointId> refusing = new HashSet<>();
  private final Set<EndpointId> refusingFurther = new HashSet<>();
  private final Set<EndpointId> timedOut = new HashSet<>();

  LossAssessor(
      RoutingState routingState,
      EndpointLoadTracker loads,
      EndpointPaths paths,
      EndpointConnectionPool connections,
      InstantSource clock) {
    this.routingState = routingState;
    this.loads = loads;
    this.paths = paths;
    this.connections = connections;
    this.clock = clock;
    connections.setCloseListener(refusingFurther::remove);
  }

  /** Records why no direct connection was established. */
  void recordDirectFailure(EndpointId endpoint, Throwable cause) {
    if (cause instanceof ConnectTimeoutException) {
      timedOut.add(endpoint);
    } else if (refusing.add(endpoint) && connections.isConnected(endpoint)) {
      refusingFurther.add(endpoint);
    }
  }

  /** Discards the failures of an endpoint that is reachable again. */
  void clear(EndpointId endpoint) {
    refusing.remove(endpoint);
    refusingFurther.remove(endpoint);
    timedOut.remove(endpoint);
  }

  /** Removes the state of endpoints that are no longer listed. */
  void retain(Collection<EndpointId> listed) {
    refusing.retainAll(listed);
    refusingFurther.retainAll(listed);
    timedOut.retainAll(listed);
  }

  /** Returns what is known of the endpoint. */
  LossEvidence evidence(EndpointEntry endpoint) {
    EndpointId id = endpoint.id();
    if (loads.isUnreachable(id) && isDataCentreCutOff(endpoint)) {
      return LossEvidence.DATA_CENTRE_CUT_OFF;
    }
    if (refusesAll(id)) {
      return hasContact(each -> !each.id().equals(id))
          ? LossEvidence.PROCESS_ENDED
          : LossEvidence.REFUSED_WITHOUT_CONTACT;
    }
    if (refusing.contains(id)) {
      return LossEvidence.REFUSES_FURTHER;
    }
    if (timedOut.contains(id)) {
      return LossEvidence.SILENT;
    }
    return paths.isDirect(id) ? LossEvidence.NONE : LossEvidence.PATH_FAILED;
  }

  // The operating system closes the connections of a process that ends, and refuses new ones. That
  // none is open shows nothing if this VM has closed them.
  private boolean refusesAll(EndpointId endpoint) {
    return refusing.contains(endpoint)
        && !refusingFurther.contains(endpoint)
        && !connections.isConnected(endpoint);
  }

  // Other endpoints that have ended say nothing about the network.
  private boolean isDataCentreCutOff(EndpointEntry endpoint) {
    boolean hasOthers = false;
    for (EndpointEntry each : routingState.endpoints().entries()) {
      if (each.dataCentre().equals(endpoint.dataCentre())
          && !each.id().equals(endpoint.id())
          && !refusesAll(each.id())) {
        if (!loads.isUnreachable(each.id())) {
          return false;
        }
        hasOthers = true;
      }
    }
    return hasOthers && hasContact(each -> !each.dataCentre().equals(endpoint.dataCentre()));
  }

  private boolean hasContact(Predicate<EndpointEntry> eligible) {
    long sinceMs = clock.millis() - MAX_CONTACT_AGE_MS;
    return routingState.endpoints().entries().stream()
        .anyMatch(each -> eligible.test(each) && connections.lastContactMs(each.id()) >= sinceMs);
  }

  /** Returns whether the process of an unreachable endpoint may have ended. */
  boolean mayHaveCrashed(EndpointId endpoint) {
    return refusing.contains(endpoint) ? refusesAll(endpoint) : !timedOut.contains(endpoint);
  }
}
