package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandInEndpoint.Behaviour;
import io.magnoliaroute.standin.users.StandInStore;
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

  private GatewayWorld world;

  @BeforeEach
  void start() {
    world = new GatewayWorld();
  }

  @AfterEach
  void stop() throws IOException {
    world.close();
  }

  @Test
  @DisplayName("sends no more requests to an endpoint that reported its shutdown in a response")
  void leaving() {
    world.first().then(Behaviour.LEAVES);
    world.second().then(Behaviour.REFUSES_AND_LEAVES);
    world.startThird();

    for (int i = 0; i < 20; i++) {
      assertEquals(200, world.call("GET", "/safe/x", Map.of()).status());
    }
    // Each endpoint got at most one request, and the one that refused it executed none.
    assertTrue(world.first().ran().size() <= 1, world.first().ran().toString());
    assertEquals(List.of(), world.second().ran());
  }

  @Test
  @DisplayName("does not resume a stream at an endpoint whose response head reported its shutdown")
  void leavingStream() {
    world.bothThen(Behaviour.LEAVES_MID_EVENT);

    assertThrows(AssertionError.class, () -> world.call("POST", "/stream/x", Map.of()));
    assertEquals(1, world.allRan().size());
  }

  @Test
  @DisplayName("sends no requests to an endpoint that reported its shutdown to another VM")
  void leavingElsewhere() {
    world.joinSecondVm("dc");
    world.first().then(Behaviour.LEAVES);
    world.second().then(Behaviour.LEAVES);
    world.startThird();
    Await.until(
        "both endpoints have reported their shutdown",
        () -> world.call("GET", "/safe/x", Map.of()).status() == 200 && world.usableAtFirst() == 1);

    Await.until("the other VM has been notified", () -> world.usableAtSecond() == 1);
  }

  @Test
  @DisplayName("learns of a shutdown from its peers after a restart, even without the store")
  void leavingBeforeRestart() {
    world.joinSecondVm("dc");
    world.first().then(Behaviour.LEAVES);
    Await.until(
        "one endpoint has reported its shutdown",
        () -> world.call("GET", "/safe/x", Map.of()).status() == 200 && world.usableAtFirst() == 1);
    Await.until("the other VM has been notified", () -> world.usableAtSecond() == 1);

    world.store().setFault(StandInStore.Fault.DOWN);
    world.restartVmBesideSecond();
    Await.until("ready", () -> world.ready() == 200);

    assertEquals(1, world.usableAtFirst());
  }
}
