package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.ServiceVersion;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.RawClient;
import io.magnoliaroute.standin.users.StandinStore;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM that joins the events of two software versions in one stream, because its
 * list of endpoints is older than the stream although none of its calls to the store has failed.
 */
@DisplayName("A VM that has not read of a new software version yet")
class OutOfStepVmTest {

  private static final String RESUMING_REQUEST =
      RawClient.head(
          "POST /stream/x HTTP/1.1",
          "Host: h",
          "X-Request-Id: b",
          "Resumes: a",
          "Last-Event-Id: 3",
          "Content-Length: 0");

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private void joinNewVersion() {
    environment.thirdEndpoint().setSoftwareVersion("v2");
    Await.result(environment.thirdEndpoint().start());
    environment
        .store()
        .put("keyed.servers", "e3", environment.thirdEndpoint().entry("s", "ready", 1));
  }

  // As another VM does that has begun stream a at the new version.
  private void storeBegunStream() {
    environment
        .store()
        .put("stream-versions", "a", new ServiceVersion("s", "v2").encode().toArray());
  }

  @Test
  @DisplayName("refuses to resume a stream while its reads of the store get no response")
  void streamIsNotResumedWhileReadsAreHeld() {
    environment.store().setFault(StandinStore.Fault.SILENT);
    joinNewVersion();
    storeBegunStream();

    GatewayTestEnvironment.Response response =
        environment.call(
            "POST", "/stream/x", Map.of("X-Request-Id", "b", "Resumes", "a", "Last-Event-Id", "3"));

    assertEquals(503, response.status());
    assertEquals(List.of(), environment.executedRequests());
  }

  @Test
  @DisplayName("resumes a stream at its version after a pause of the process")
  void streamContinuesAtItsVersionAfterPause() throws IOException {
    try (RawClient client = connect()) {
      Runnable wake = environment.pauseVm();
      client.write(RESUMING_REQUEST);
      joinNewVersion();
      storeBegunStream();
      wake.run();

      String head = client.readHead();
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
    }
    assertEquals(List.of("b"), environment.thirdEndpoint().executedRequestIds());
  }

  @Test
  @DisplayName("refuses to resume a stream whose version joined and left during a pause")
  void streamOfVersionThatJoinedAndLeftIsNotResumed() throws IOException {
    try (RawClient client = connect()) {
      Runnable wake = environment.pauseVm();
      client.write(RESUMING_REQUEST);
      joinNewVersion();
      storeBegunStream();
      environment.store().put("keyed.servers", "e3", "");
      wake.run();

      String head = client.readHead();
      assertTrue(head.startsWith("HTTP/1.1 503"), head);
    }
    assertEquals(List.of(), environment.executedRequests());
  }

  // The VM has accepted the connection once it has answered on it.
  private RawClient connect() throws IOException {
    RawClient client = new RawClient(environment.vm().clientPort());
    client.write(RawClient.head("GET /none HTTP/1.1", "Host: h"));
    String response = client.readResponse();
    assertTrue(response.startsWith("HTTP/1.1 404"), response);
    return client;
  }
}
