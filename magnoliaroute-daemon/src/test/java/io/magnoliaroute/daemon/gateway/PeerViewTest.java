package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against routing by an older view of the endpoints than the one that this VM has. */
@DisplayName("A peer's view of the endpoints")
class PeerViewTest {

  private static final EndpointEntry FIRST = entry("e1");
  private static final EndpointEntry SECOND = entry("e2");

  private final InstantSource clock = () -> Instant.EPOCH;
  private final DecisionLog log = new DecisionLog("vm-1", clock);
  private final RoutingState routingState = new RoutingState();
  private final RoutingStateUpdater updater =
      new RoutingStateUpdater(routingState, new StoreHealth(clock, log), clock, log);

  private static EndpointEntry entry(String id) {
    return new EndpointEntry(
        new EndpointId(id), "s", new HostPort("10.0.0.1", 80), "dc", 4, false, 1, 1, "v1");
  }

  private int usableEndpoints() {
    return routingState.endpoints().usableEndpoints("s", 0).size();
  }

  @Test
  @DisplayName("replaces an older view and can be passed on to other VMs")
  void replacesOlderView() {
    updater.applyPeerEndpoints(List.of(FIRST, SECOND), 4);
    updater.applyPeerEndpoints(List.of(FIRST), 5);

    assertEquals(1, usableEndpoints());
    assertEquals(5, routingState.endpointsOffset());
  }

  @Test
  @DisplayName("is ignored if it is older, so that it does not add endpoints that were removed")
  void olderViewAddsNothing() {
    updater.applyPeerEndpoints(List.of(FIRST), 5);
    updater.applyPeerEndpoints(List.of(FIRST, SECOND), 4);

    assertEquals(1, usableEndpoints());
  }
}
