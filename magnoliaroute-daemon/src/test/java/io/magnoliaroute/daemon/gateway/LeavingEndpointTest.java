package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.magnoliaroute.standin.users.StandinStore;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests to endpoints that have reported their shutdown in a response. */
@DisplayName("When an endpoint shuts down, a VM")
class LeavingEndpointTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  @Test
  @DisplayName("sends no more requests to an endpoint that reported its shutdown in a response")
  void excludesEndpointThatReportsShutdown() {
    environment.firstEndpoint().addBehaviour(Behaviour.LEAVES);
    environment.secondEndpoint().addBehaviour(Behaviour.REFUSES_AND_LEAVES);
    environment.startThirdEndpoint();

    for (int i = 0; i < 20; i++) {
      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    }
    // Each endpoint got at most one request, and the one that refused it executed none.
    assertTrue(
        environment.firstEndpoint().executedRequestIds().size() <= 1,
        environment.firstEndpoint().executedRequestIds().toString());
    assertEquals(List.of(), environment.secondEndpoint().executedRequestIds());
  }

  @Test
  @DisplayName("does not resume a stream at an endpoint whose response head reported its shutdown")
  void doesNotResumeAtEndpointShuttingDown() {
    environment.setNextBehaviour(Behaviour.LEAVES_MID_EVENT);

    assertThrows(AssertionError.class, () -> environment.call("POST", "/stream/x", Map.of()));
    assertEquals(1, environment.executedRequests().size());
  }

  @Test
  @DisplayName("sends no requests to an endpoint that reported its shutdown to another VM")
  void excludesEndpointReportedByPeer() {
    environment.joinSecondVm("dc");
    environment.firstEndpoint().addBehaviour(Behaviour.LEAVES);
    environment.secondEndpoint().addBehaviour(Behaviour.LEAVES);
    environment.startThirdEndpoint();
    Await.until(
        "both endpoints have reported their shutdown",
        () ->
            environment.call("GET", "/safe/x", Map.of()).status() == 200
                && environment.usableEndpointsAtFirstVm() == 1);

    Await.until(
        "the other VM has been notified", () -> environment.usableEndpointsAtSecondVm() == 1);
  }

  @Test
  @DisplayName("learns of a shutdown from its peers after a restart, even without the store")
  void learnsOfShutdownFromPeersAfterRestart() {
    environment.joinSecondVm("dc");
    environment.firstEndpoint().addBehaviour(Behaviour.LEAVES);
    Await.until(
        "one endpoint has reported its shutdown",
        () ->
            environment.call("GET", "/safe/x", Map.of()).status() == 200
                && environment.usableEndpointsAtFirstVm() == 1);
    Await.until(
        "the other VM has been notified", () -> environment.usableEndpointsAtSecondVm() == 1);

    environment.store().setFault(StandinStore.Fault.DOWN);
    environment.restartVmBesideSecond();
    Await.until("ready", () -> environment.readyStatus() == 200);

    assertEquals(1, environment.usableEndpointsAtFirstVm());
  }

  @Test
  @DisplayName("does not use an endpoint again that was removed and that an older view still has")
  void olderViewOfPeerDoesNotRestoreRemovedEndpoint() {
    environment.startSecondVmWithOlderView();
    environment.store().put("keyed.servers", "e2", "");

    environment.restartVmBesideSecond();
    Await.until("the VM has its peer's view", () -> environment.vm().knownVms() == 2);
    Await.until("ready", () -> environment.readyStatus() == 200);

    assertEquals(1, environment.usableEndpointsAtFirstVm());
  }
}
