package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that make others late, or are refused late, while all endpoints have full
 * batches and queues, and against work for clients that have left.
 */
@DisplayName("While its service has too little capacity, a VM")
class CapacityShortageTest {

  private static final String FULL = "8,80,8,100";
  private static final String IDLE = "1,0,8,100";

  private final GatewayTestEnvironment environment = new GatewayTestEnvironment();

  private Response sendQuickTurn(String program) {
    return environment.call(
        "POST",
        "/quickstream/stream",
        Map.of("X-Program-Id", program, "X-Token-Budget", "3000", "X-Token-Usage", "10,100"));
  }

  /** Lets both endpoints report the load in a response to the VM. */
  private void reportLoad(String load) {
    for (StandinEndpoint endpoint :
        List.of(environment.firstEndpoint(), environment.secondEndpoint())) {
      endpoint.setReportedLoad(load);
    }
    for (StandinEndpoint endpoint :
        List.of(environment.firstEndpoint(), environment.secondEndpoint())) {
      int executedBefore = endpoint.executedRequestIds().size();
      Await.until(
          "the endpoint has reported its load",
          () -> {
            environment.sendConcurrently(8, "POST", "/plainstream/x");
            return endpoint.executedRequestIds().size() > executedBefore;
          });
    }
  }

  private void disconnectWhileWaiting(String path) {
    Vertx vertx = Vertx.vertx();
    HttpClient client = vertx.createHttpClient();
    client
        .request(HttpMethod.GET, environment.vm().clientPort(), "127.0.0.1", path)
        .onSuccess(
            request -> request.putHeader("Host", "h").putHeader("X-Request-Id", "leaves").send());
    Await.until("the request waits", () -> environment.vm().waitingRequests() == 1);
    Await.result(client.close().compose(closed -> vertx.close()));
  }

  @AfterEach
  void close() throws IOException {
    environment.close();
  }

  @Test
  @DisplayName("refuses the first turn of a program at once, with Retry-After")
  void refusesNewProgram() {
    reportLoad(FULL);
    int executedBefore = environment.executedRequests().size();

    Response response = sendQuickTurn("new");

    assertEquals(503, response.status());
    double retryAfterS = Double.parseDouble(response.headers().get("Retry-After"));
    assertTrue(retryAfterS > 0 && retryAfterS < 1.4, "Retry-After of " + retryAfterS + " s");
    assertEquals(executedBefore, environment.executedRequests().size());
  }

  @Test
  @DisplayName("serves a later turn of a program, and requests without a program")
  void servesStartedProgram() {
    assertEquals(200, sendQuickTurn("started").status());
    reportLoad(FULL);

    assertEquals(200, sendQuickTurn("started").status());
    assertEquals(200, environment.call("POST", "/quickstream/stream", Map.of()).status());
  }

  @Test
  @DisplayName("returns the tokens of a refused turn, so that the program is still new")
  void refusedTurnUsesNoTokens() {
    reportLoad(FULL);
    assertEquals(503, sendQuickTurn("p").status());
    reportLoad(FULL);
    assertEquals(503, sendQuickTurn("p").status());
  }

  @Test
  @DisplayName("admits new programs again once the endpoints report free slots")
  void admitsAfterShortage() {
    reportLoad(FULL);
    assertEquals(503, sendQuickTurn("p").status());
    reportLoad(IDLE);

    assertEquals(200, sendQuickTurn("p").status());
  }

  @Test
  @DisplayName("refuses nothing without recent reports")
  void oldReports() {
    reportLoad(FULL);

    Await.within(
        3_000,
        "a new program is served although no endpoint reports free slots",
        () -> sendQuickTurn("p").status() == 200);
  }

  @Test
  @DisplayName("drops a waiting request whose client has left")
  void clientLeavesWhileWaiting() {
    environment.removeEndpoints();
    disconnectWhileWaiting("/slow/x");
    Await.until("no request waits", () -> environment.vm().waitingRequests() == 0);
    StandinEndpoint endpoint = environment.thirdEndpoint();
    Await.result(endpoint.start());
    environment.store().put("keyed.servers", "e3", endpoint.entry("s", "ready", 1));
    Await.until("the endpoint is usable", () -> environment.usableEndpointsAtFirstVm() == 1);

    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(1, environment.executedRequests().size());
  }

  @Test
  @DisplayName("cancels a stream whose client has left, also if it may not be resumed")
  void clientLeavesStream() {
    environment.setNextBehaviour(Behaviour.HANGS);
    environment.disconnectDuring("POST", "/plainstream/x");

    // A stream without events is given up after 1.3 s, whether or not its client has left.
    Await.within(
        1_000,
        "the connection to the endpoint is closed",
        () ->
            environment.firstEndpoint().abortedRequests()
                    + environment.secondEndpoint().abortedRequests()
                == 1);
  }
}
