package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that is not retried and crashes one endpoint after the other. */
@DisplayName("A request that may run only once and crashes its endpoints")
class CrashingRequestTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private int send(String path) {
    return environment.call("POST", path, Map.of()).status();
  }

  /** Sends the request until it has crashed all three endpoints, and starts one of them again. */
  private void crashThreeEndpoints(String path, Behaviour crash) {
    environment.startThirdAndCrashAllOnNextRequest(crash);
    for (int sent = 1; sent <= 3; sent++) {
      int expected = sent;
      assertEquals(502, send(path));
      Await.until("the crash is counted", () -> environment.countedCrashes() == expected);
    }
    environment.restartFirstEndpoint();
    Await.until("the endpoint is in use again", () -> send("/unsafe/sound") == 200);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/unsafe/poison", "/plainstream/poison"})
  @DisplayName("is refused after the third crash")
  void requestIsRefusedAfterThirdCrash(String path) {
    crashThreeEndpoints(path, Behaviour.CRASHES);
    int executedBefore = environment.executedRequests().size();

    assertEquals(503, send(path));
    assertEquals(executedBefore, environment.executedRequests().size());
  }

  @Test
  @DisplayName("is refused also if the crashed endpoints accept connections for a while")
  void requestIsRefusedAfterSlowCrashes() {
    crashThreeEndpoints("/unsafe/poison", Behaviour.CRASHES_SLOWLY);

    assertEquals(503, send("/unsafe/poison"));
  }

  @Test
  @DisplayName("is refused also by a VM that has restarted")
  void requestIsRefusedAfterRestartOfVm() {
    environment.joinSecondVm("dc2");
    crashThreeEndpoints("/unsafe/poison", Behaviour.CRASHES);
    environment.restartVmBesideSecond();
    Await.until("the VM is ready", () -> environment.readyStatus() == 200);
    Await.until("the VM has asked its peer", () -> !environment.vm().isStarting());
    int executedBefore = environment.executedRequests().size();

    assertEquals(503, send("/unsafe/poison"));
    assertEquals(executedBefore, environment.executedRequests().size());
  }

  @Test
  @DisplayName("is not suspected if its endpoints break the connection and go on")
  void lostResponsesAreNoCrashes() {
    for (int sent = 1; sent <= 4; sent++) {
      environment.setNextBehaviour(Behaviour.ANSWER_LOST);
      assertEquals(502, send("/unsafe/poison"));
      environment.clearBehaviours();
    }

    assertEquals(200, send("/unsafe/poison"));
    assertEquals(0, environment.countedCrashes());
  }
}
