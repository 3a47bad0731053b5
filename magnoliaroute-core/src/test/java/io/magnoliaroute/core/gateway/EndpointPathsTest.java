package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against relays that do not reach an endpoint, or that all VMs choose at once. */
@DisplayName("The paths to endpoints")
class EndpointPathsTest {

  private final EndpointPaths paths = new EndpointPaths(new VmId("vm"), "dc1");
  private final EndpointEntry endpoint = endpoint("e1", "dc2");
  private final VmEntry local = vm("local", "dc1");
  private final VmEntry beside = vm("beside", "dc2");
  private final VmEntry remote = vm("remote", "dc3");
  private final List<VmEntry> all = List.of(vm("vm", "dc1"), remote, beside, local);

  private static VmEntry vm(String id, String dataCentre) {
    return new VmEntry(new VmId(id), new HostPort("10.0.0.1", 80), dataCentre);
  }

  private static EndpointEntry endpoint(String id, String dataCentre) {
    HostPort address = new HostPort("10.0.0.2", 80);
    return new EndpointEntry(new EndpointId(id), "s", address, dataCentre, 4, false, 1, 1, "v1");
  }

  @Test
  @DisplayName("are direct until a connection fails, and again after one succeeds")
  void direct() {
    assertTrue(paths.isDirect(endpoint.id()));
    assertTrue(paths.markDirectLost(endpoint.id(), 0));
    assertFalse(paths.markDirectLost(endpoint.id(), 0));
    paths.useRelay(endpoint.id(), local);
    assertEquals(Optional.of(local), paths.relay(endpoint.id()));

    assertTrue(paths.markDirectRestored(endpoint.id()));
    assertEquals(Optional.empty(), paths.relay(endpoint.id()));
  }

  @Test
  @DisplayName("lead through the fewest links between data centres, never through this VM")
  void fewestRemoteLinks() {
    List<VmEntry> candidates = paths.relayCandidates(endpoint, all, 0);

    assertEquals(Set.of(local, beside), Set.copyOf(candidates.subList(0, 2)));
    assertEquals(List.of(remote), candidates.subList(2, candidates.size()));
  }

  @Test
  @DisplayName("avoid a VM that failed for the endpoint, for a limited time")
  void failedRelay() {
    paths.markDirectLost(endpoint.id(), 0);
    paths.useRelay(endpoint.id(), local);
    paths.markRelayFailed(local.vm(), endpoint.id(), 0);

    assertEquals(Optional.empty(), paths.relay(endpoint.id()));
    assertEquals(List.of(beside, remote), paths.relayCandidates(endpoint, all, 0));
    assertTrue(
        paths.relayCandidates(endpoint, all, EndpointPaths.RELAY_FAILURE_MS).contains(local));
  }

  @Test
  @DisplayName("avoid a VM that failed for other endpoints, if there is another one")
  void relayThatFailsForOthers() {
    paths.markRelayFailed(local.vm(), new EndpointId("e2"), 0);
    paths.markRelayFailed(beside.vm(), new EndpointId("e2"), 0);

    assertEquals(remote, paths.relayCandidates(endpoint, all, 0).get(0));
  }

  @Test
  @DisplayName("of many VMs are distributed among all relays")
  void distribution() {
    List<VmEntry> relays = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      relays.add(vm("r" + i, "dc1"));
    }
    Set<VmEntry> chosen = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      EndpointPaths other = new EndpointPaths(new VmId("vm" + i), "dc1");
      chosen.add(other.relayCandidates(endpoint, relays, 0).get(0));
    }

    assertEquals(Set.copyOf(relays), chosen);
  }

  @Test
  @DisplayName("are probed directly with a backoff while a relay is in use")
  void directProbe() {
    paths.markDirectLost(endpoint.id(), 0);
    assertFalse(paths.isDirectProbeDue(endpoint.id(), EndpointPaths.INITIAL_PROBE_DELAY_MS));
    paths.useRelay(endpoint.id(), local);
    assertTrue(paths.isDirectProbeDue(endpoint.id(), EndpointPaths.INITIAL_PROBE_DELAY_MS));

    for (int i = 0; i < 5; i++) {
      paths.markDirectLost(endpoint.id(), 0);
    }
    assertFalse(paths.isDirectProbeDue(endpoint.id(), EndpointPaths.MAX_PROBE_DELAY_MS - 1));
    assertTrue(paths.isDirectProbeDue(endpoint.id(), EndpointPaths.MAX_PROBE_DELAY_MS));
  }
}
