package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against VMs that refuse their clients while only other VMs reach the endpoints. */
@DisplayName("A VM that is partitioned from all endpoints")
class PartitionedVmTest {

  /** Time until the clients of a partitioned VM must be served like those of other VMs. */
  private static final long CONTACT_MS = 3_000;

  /** Time after which a VM has closed its idle connections to endpoints. */
  private static final long IDLE_MS = 5_000;

  private static final int REQUESTS = 20;

  private GatewayTestEnvironment environment;
  private VmLinks links;

  @BeforeEach
  void start() throws IOException {
    environment = new GatewayTestEnvironment();
    links = environment.joinSecondVmWithOwnLinks();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private void assertServedDuring(Cut cut) throws IOException {
    links.cut(cut);
    assertServed();
  }

  private void assertServed() {
    Await.within(
        CONTACT_MS,
        "a request is served",
        () -> environment.call("GET", "/safe/x", Map.of("X-Deadline-Ms", "1000")).status() == 200);
    List<Integer> allServed = Collections.nCopies(REQUESTS, 200);
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "GET", "/safe/x"));
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "POST", "/unsafe/x"));
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "POST", "/stream/x"));
    assertEachRequestExecutedOnce();
  }

  private void assertEachRequestExecutedOnce() {
    environment
        .executedRequests()
        .forEach(
            id ->
                assertEquals(
                    1, Collections.frequency(environment.executedRequests(), id), "request " + id));
  }

  @Test
  @DisplayName("serves its clients through another VM while its connections hang")
  void clientsAreServedWhileConnectionsHang() throws IOException {
    assertServedDuring(Cut.SILENT);
  }

  @Test
  @DisplayName("serves its clients through another VM after its connections were reset")
  void clientsAreServedAfterConnectionsWereReset() throws IOException {
    assertServedDuring(Cut.RESET);
  }

  @Test
  @DisplayName("serves its clients through another VM while new connections are refused")
  void clientsAreServedWhileNewConnectionsAreRefused() throws IOException {
    links.cut(Cut.REFUSES_NEW);
    Await.within(
        IDLE_MS, "the VM has closed its idle connections", () -> links.openConnections() == 0);
    assertServed();
  }

  @Test
  @DisplayName("connects directly again after the partition")
  void directPathIsUsedAgain() throws IOException {
    assertServedDuring(Cut.RESET);
    assertEquals(0, links.openConnections());

    links.restore();

    Await.within(CONTACT_MS, "the VM connects directly", () -> links.openConnections() > 0);
    assertServed();
  }

  @Test
  @DisplayName("reports an unsafe request as possibly run when the relay dies meanwhile")
  void requestIsNotReportedAsNotRunWhenItsRelayDies() throws IOException {
    assertServedDuring(Cut.RESET);
    environment.setNextBehaviour(Behaviour.HANGS);
    int executed = environment.executedRequests().size();
    Future<Response> response = environment.begin("POST", "/unsafe/x");
    Await.until(
        "an endpoint runs the request", () -> environment.executedRequests().size() > executed);

    environment.killSecondVm();

    assertEquals(502, Await.result(response).status());
    assertEachRequestExecutedOnce();
  }

  @Test
  @DisplayName("stops a stream at its endpoint when the client disconnects")
  void endpointBehindRelayStopsWhenClientDisconnects() throws IOException {
    assertServedDuring(Cut.RESET);
    environment.setNextBehaviour(Behaviour.HANGS);

    environment.disconnectDuring("POST", "/stream/x");

    Await.within(
        500,
        "the endpoint's connection is closed",
        () ->
            environment.firstEndpoint().abortedRequests()
                    + environment.secondEndpoint().abortedRequests()
                == 1);
  }

  /** Serves the requests through the relay with an endpoint that responds as the script defines. */
  private RawEndpoint startScriptedEndpoint(RawEndpoint.Script script, boolean resets)
      throws IOException {
    RawEndpoint endpoint = environment.startScriptedEndpoint(links, script, resets);
    links.cut(Cut.RESET);
    return endpoint;
  }

  @Test
  @DisplayName("gets the response of a request whose relay is stopped meanwhile")
  void plannedStopOfRelayCutsNoRequest() throws IOException {
    RawEndpoint endpoint =
        startScriptedEndpoint(call -> call.writeLater(1_500, call.completeResponse("late")), false);
    Future<Response> response = environment.begin("POST", "/unsafe/x");
    Await.until("the endpoint has the request", () -> endpoint.requestIds().size() == 1);

    environment.secondVm().stop();

    assertEquals(200, Await.result(response).status());
  }

  @Test
  @DisplayName("gets the end of a stream for which its relay has to wait before it exits")
  void relayExitsAfterItsTunnelsHaveEnded() throws IOException {
    RawEndpoint endpoint =
        startScriptedEndpoint(
            call -> call.writeLater(3_200, call.completeResponse("data: late\n\n")), false);
    Future<Response> response = environment.begin("POST", "/plainstream/x");
    Await.until("the endpoint has the request", () -> endpoint.requestIds().size() == 1);

    Await.result(environment.secondVm().stop());
    environment.killSecondVm();

    assertEquals("data: late\n\n", Await.result(response).body());
  }

  @Test
  @DisplayName("forwards a response that ends with its connection")
  void responseThatEndsWithItsConnectionIsComplete() throws IOException {
    startScriptedEndpoint(
        call -> {
          call.write(call.head("Connection: close") + "whole body");
          call.socket().end();
        },
        false);

    Response response = environment.call("POST", "/unsafe/x", Map.of());

    assertEquals(200, response.status());
    assertEquals("whole body", response.body());
  }

  @Test
  @DisplayName("takes no response as complete whose relay dies before its connection ends")
  void responseOfDeadRelayIsNotComplete() throws IOException {
    RawEndpoint endpoint =
        startScriptedEndpoint(call -> call.write(call.head("Connection: close") + "half"), false);
    Future<Response> response = environment.begin("POST", "/unsafe/x");
    Await.until("the endpoint has the request", () -> endpoint.requestIds().size() == 1);

    environment.killSecondVm();

    assertEquals(502, Await.result(response).status());
  }
}
