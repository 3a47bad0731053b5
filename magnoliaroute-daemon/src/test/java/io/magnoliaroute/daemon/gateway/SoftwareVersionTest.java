package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.magnoliaroute.standin.users.StandinStore;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against streams that are joined from the events of two software versions. */
@DisplayName("While endpoints of two software versions are in service, a VM")
class SoftwareVersionTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private GatewayTestEnvironment.Response resume(String requestId, String firstRequestId) {
    return environment.call(
        "POST",
        "/stream/x",
        Map.of("X-Request-Id", requestId, "Resumes", firstRequestId, "Last-Event-Id", "3"));
  }

  @Test
  @DisplayName("ends a broken stream if no endpoint of its version is left")
  void brokenStreamDoesNotContinueAtOtherVersion() {
    environment.replaceSecondEndpoint("v2");
    environment.setNextBehaviour(Behaviour.CRASHES_MID_EVENT);
    environment.thirdEndpoint().addBehaviour(Behaviour.CRASHES_MID_EVENT);

    assertThrows(
        AssertionError.class,
        () -> environment.call("POST", "/stream/x", Map.of("X-Request-Id", "a")));
    assertEquals(List.of("a"), environment.executedRequests());
  }

  @Test
  @DisplayName("refuses to resume a stream of which it does not know the version")
  void unknownStreamIsNotResumed() {
    environment.replaceSecondEndpoint("v2");

    assertEquals(503, resume("b", "a").status());
    assertEquals(List.of(), environment.executedRequests());
  }

  @Test
  @DisplayName("refuses to resume an unknown stream at the only version left, after a restart")
  void unknownStreamIsNotResumedAtOnlyVersionLeft() {
    environment.replaceSecondEndpoint("v2");
    environment.removeEndpoint("e1");
    environment.restartVm();
    Await.until("the VM is ready", () -> environment.readyStatus() == 200);

    assertEquals(503, resume("b", "a").status());
    assertEquals(List.of(), environment.executedRequests());
  }

  @Test
  @DisplayName("resumes streams at the version that began them, after all VMs were lost")
  void streamsContinueAtTheirVersionAfterLossOfAllVms() {
    environment.replaceSecondEndpoint("v2");
    for (int i = 0; i < 8; i++) {
      environment.call("POST", "/stream/x", Map.of("X-Request-Id", "s" + i));
    }
    List<String> begunAtV1 = environment.firstEndpoint().executedRequestIds();
    List<String> begunAtV2 = environment.thirdEndpoint().executedRequestIds();
    Await.within(
        2_000,
        "the versions of all streams are stored",
        () -> environment.store().recordCount("stream-versions", 0) >= 8);
    environment.restartVm();
    Await.until("the VM is ready", () -> environment.readyStatus() == 200);

    assertResumedAt(environment.firstEndpoint(), begunAtV1);
    assertResumedAt(environment.thirdEndpoint(), begunAtV2);
  }

  private void assertResumedAt(StandinEndpoint endpoint, List<String> firstRequestIds) {
    for (String firstRequestId : firstRequestIds) {
      String requestId = "resumes-" + firstRequestId;
      assertEquals(200, resume(requestId, firstRequestId).status(), requestId);
      List<String> executed = endpoint.executedRequestIds();
      assertEquals(requestId, executed.get(executed.size() - 1));
    }
  }

  @Test
  @DisplayName("of a single version resumes a stream that it does not know")
  void unknownStreamOfSingleVersionIsResumed() {
    assertEquals(200, resume("b", "a").status());
  }

  @Test
  @DisplayName("resumes a stream that another VM began, after that VM was killed")
  void streamOfKilledVmContinuesAtItsVersion() {
    environment.joinSecondVm("dc");
    environment.replaceSecondEndpoint("v2");
    Await.until(
        "the other VM has the same endpoints", () -> environment.usableEndpointsAtSecondVm() == 2);
    environment.call("POST", "/stream/x", Map.of("X-Request-Id", "a"));
    boolean begunAtFirst = !environment.firstEndpoint().executedRequestIds().isEmpty();
    Await.within(
        2_000,
        "the version of the stream is stored",
        () -> environment.store().recordCount("stream-versions", 0) >= 1);
    environment.killVm();

    assertEquals(200, environment.resumeAtSecondVm("b", "a").status());
    StandinEndpoint expected =
        begunAtFirst ? environment.firstEndpoint() : environment.thirdEndpoint();
    assertEquals(List.of("a", "b"), expected.executedRequestIds());
  }

  @Test
  @DisplayName("stores the versions of streams under way when a second version appears")
  void streamsUnderWayAreStored() {
    environment.call("POST", "/stream/x", Map.of("X-Request-Id", "a"));
    assertEquals(0, environment.store().recordCount("stream-versions", 0));

    environment.replaceSecondEndpoint("v2");

    Await.within(
        2_000,
        "the version of the stream is stored",
        () -> environment.store().recordCount("stream-versions", 0) == 1);
  }

  @Test
  @DisplayName("refuses to resume a stream whose version has left")
  void streamOfRemovedVersionIsNotResumed() {
    environment.replaceSecondEndpoint("v2");
    environment.removeEndpoint("e3");
    environment.call("POST", "/stream/x", Map.of("X-Request-Id", "a"));
    environment.restoreThirdEndpoint();
    environment.removeEndpoint("e1");

    assertEquals(503, resume("b", "a").status());
    assertEquals(List.of("a"), environment.executedRequests());
  }

  @Test
  @DisplayName("refuses at once to resume an unknown stream while the store is away")
  void unknownStreamIsRefusedWithoutStore() {
    environment.replaceSecondEndpoint("v2");
    environment.store().setFault(StandinStore.Fault.SILENT);

    Await.within(1_000, "the stream is refused", () -> resume("b", "a").status() == 503);
    assertEquals(List.of(), environment.executedRequests());
  }

  @Test
  @DisplayName("refuses to continue after an event if the request does not name its stream")
  void unnamedStreamIsNotResumed() {
    environment.replaceSecondEndpoint("v2");

    GatewayTestEnvironment.Response response =
        environment.call("POST", "/stream/x", Map.of("Last-Event-Id", "3"));

    assertEquals(503, response.status());
  }

  @Test
  @DisplayName("begins a new stream if the request names a stream but no event")
  void streamWithoutEventBeginsAnew() {
    environment.replaceSecondEndpoint("v2");

    GatewayTestEnvironment.Response response =
        environment.call("POST", "/stream/x", Map.of("Resumes", "a"));

    assertEquals(200, response.status());
  }
}
