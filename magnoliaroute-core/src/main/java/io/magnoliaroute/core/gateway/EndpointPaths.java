package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the path by which this VM reaches each endpoint: directly, or through a relay, which is
 * another VM.
 *
 * <p>A connection that cannot be established says something about the path first: the endpoint may
 * be sound and reachable from other VMs. While the direct path is lost, it is probed with a
 * backoff, and connections go through a relay. Not thread-safe; confined to one event loop.
 */
public final class EndpointPaths {

  /** Time for which a VM that failed as a relay is not tried again for the same endpoint. */
  static final long RELAY_FAILURE_MS = 2_000;

  /** Delay before the first probe of a lost direct path; doubles with each failure. */
  static final long INITIAL_PROBE_DELAY_MS = 250;

  /** Maximum delay before a probe of a lost direct path. */
  static final long MAX_PROBE_DELAY_MS = 1_000;

  private static final int MAX_DOUBLINGS = 2;

  private final VmId self;
  private final String dataCentre;
  private final Map<EndpointId, LostPath> lostPaths = new HashMap<>();
  private final Map<VmId, Map<EndpointId, Long>> relayFailures = new HashMap<>();

  private static final class LostPath {
    private int failures;
    private long probeAtMs;
    private Optional<VmEntry> relay = Optional.empty();
  }

  /** Creates the paths of a VM, all of them direct. */
  public EndpointPaths(VmId self, String dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  /** Returns whether connections to the endpoint are opened directly. */
  public boolean isDirect(EndpointId endpoint) {
    return !lostPaths.containsKey(endpoint);
  }

  /** Returns the relay in use; empty if the path is direct or none is known. */
  public Optional<VmEntry> relay(EndpointId endpoint) {
    LostPath lost = lostPaths.get(endpoint);
    return lost == null ? Optional.empty() : lost.relay;
  }

  /** Records that no direct connection was established; returns whether the path was direct. */
  public boolean markDirectLost(EndpointId endpoint, long nowMs) {
    boolean wasDirect = isDirect(endpoint);
    LostPath lost = lostPaths.computeIfAbsent(endpoint, id -> new LostPath());
    long delayMs = INITIAL_PROBE_DELAY_MS << Math.min(lost.failures, MAX_DOUBLINGS);
    lost.failures++;
    lost.probeAtMs = nowMs + Math.min(MAX_PROBE_DELAY_MS, delayMs);
    return wasDirect;
  }

  /** Records that a direct connection was established; returns whether the path was lost. */
  public boolean markDirectRestored(EndpointId endpoint) {
    return lostPaths.remove(endpoint) != null;
  }

  /** Returns whether a relay is in use and the next probe of the direct path is due. */
  public boolean isDirectProbeDue(EndpointId endpoint, long nowMs) {
    LostPath lost = lostPaths.get(endpoint);
    return lost != null && lost.relay.isPresent() && nowMs >= lost.probeAtMs;
  }

  /** Uses the relay for the endpoint, unless the direct path has been restored. */
  public void useRelay(EndpointId endpoint, VmEntry relay) {
    LostPath lost = lostPaths.get(endpoint);
    if (lost != null) {
      lost.relay = Optional.of(relay);
    }
  }

  /** Records that the VM did not connect this VM to the endpoint. */
  public void markRelayFailed(VmId relay, EndpointId endpoint, long nowMs) {
    relayFailures
        .computeIfAbsent(relay, id -> new HashMap<>())
        .put(endpoint, nowMs + RELAY_FAILURE_MS);
    LostPath lost = lostPaths.get(endpoint);
    if (lost != null && lost.relay.filter(current -> current.vm().equals(relay)).isPresent()) {
      lost.relay = Optional.empty();
    }
  }

  /**
   * Returns the VMs that may relay connections to the endpoint, the best one first: those that have
   * not failed for other endpoints, then those on the way with the fewest links between data
   * centres. VMs that are equal in both are ordered by a hash, which distributes the connections of
   * all VMs among them.
   */
  public List<VmEntry> relayCandidates(
      EndpointEntry endpoint, Collection<VmEntry> vms, long nowMs) {
    Map<VmEntry, Integer> failures = new HashMap<>();
    for (VmEntry vm : vms) {
      Map<EndpointId, Long> failed = currentFailures(vm.vm(), nowMs);
      if (!vm.vm().equals(self) && !failed.containsKey(endpoint.id())) {
        failures.put(vm, failed.size());
      }
    }
    List<VmEntry> candidates = new ArrayList<>(failures.keySet());
    candidates.sort(
        Comparator.<VmEntry>comparingInt(vm -> failures.get(vm))
            .thenComparingInt(vm -> remoteLinks(vm, endpoint))
            .thenComparingLong(vm -> Hashing.fnv1a64(self + "/" + endpoint.id() + "/" + vm.vm())));
    return candidates;
  }

  /** Returns the number of links between data centres on the current path to the endpoint. */
  public int remoteLinks(EndpointEntry endpoint) {
    return relay(endpoint.id())
        .map(relay -> remoteLinks(relay, endpoint))
        .orElseGet(() -> endpoint.dataCentre().equals(dataCentre) ? 0 : 1);
  }

  /** Removes the state of endpoints that are no longer listed. */
  public void retain(Collection<EndpointId> listed, long nowMs) {
    lostPaths.keySet().retainAll(listed);
    for (VmId vm : List.copyOf(relayFailures.keySet())) {
      if (currentFailures(vm, nowMs).isEmpty()) {
        relayFailures.remove(vm);
      }
    }
  }

  private Map<EndpointId, Long> currentFailures(VmId vm, long nowMs) {
    Map<EndpointId, Long> failures = relayFailures.getOrDefault(vm, Map.of());
    if (!failures.isEmpty()) {
      failures.values().removeIf(untilMs -> nowMs >= untilMs);
    }
    return failures;
  }

  private int remoteLinks(VmEntry relay, EndpointEntry endpoint) {
    int toRelay = relay.dataCentre().equals(dataCentre) ? 0 : 1;
    int toEndpoint = relay.dataCentre().equals(endpoint.dataCentre()) ? 0 : 1;
    return toRelay + toEndpoint;
  }
}
