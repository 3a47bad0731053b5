package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.RawClient;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests that are failed or overruled because their connection is silent. */
@DisplayName("While a connection to an endpoint carries no bytes, a VM")
class SilentConnectionTest {

  private static final long SLOW_MS = 1_500;
  private static final int REQUESTS_PER_S = 20;
  private static final long TRAFFIC_MS = 2_000;

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private static void respondUnlessFirst(RawEndpoint.Call call) {
    if (call.number() != 1) {
      call.write(call.completeResponse("body"));
    }
  }

  @Test
  @DisplayName("responds to a slow idempotent request with the response of its first run")
  void slowRequestIsAnsweredByItsFirstRun() {
    environment.startScriptedEndpoint(
        call -> {
          if (call.id().isEmpty()) {
            call.write(call.completeResponse("healthy"));
          } else {
            call.writeLater(SLOW_MS, call.completeResponse("run " + call.number()));
          }
        });

    Response response = environment.call("GET", "/slow/x", Map.of());

    assertEquals(200, response.status());
    assertEquals("run 1", response.body());
  }

  @Test
  @DisplayName("passes on the failure of a slow first run, not the success of the second one")
  void failureOfSlowFirstRunIsNotReplaced() {
    environment.startScriptedEndpoint(
        call -> {
          String response = call.completeResponse("body");
          if (call.number() == 1) {
            call.writeLater(SLOW_MS, response.replace("200 OK", "500 Failed"));
          } else {
            call.writeLater(call.id().isEmpty() ? 1 : SLOW_MS, response);
          }
        });

    assertEquals(500, environment.call("GET", "/slow/x", Map.of()).status());
  }

  @Test
  @DisplayName("responds with the response of the first run if the endpoint refuses the second one")
  void requestIsAnsweredByItsFirstRunIfItsRepetitionIsRefused() {
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              if (call.number() == 1) {
                call.writeLater(2 * SLOW_MS, call.completeResponse("run 1"));
              } else {
                call.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
              }
            });

    Response response = environment.call("GET", "/slow/x", Map.of());

    assertEquals(200, response.status());
    assertEquals("run 1", response.body());
    assertTrue(endpoint.requestIds().size() > 1, "the request was not repeated");
  }

  @Test
  @DisplayName("responds with the response of the second run if the first connection closes")
  void requestIsAnsweredByItsSecondRunIfTheFirstConnectionCloses() {
    environment.startScriptedEndpoint(
        call -> {
          if (call.number() == 1) {
            call.vertx().setTimer(SLOW_MS, fired -> call.socket().close());
          } else {
            long delayMs = call.id().isEmpty() ? 1 : SLOW_MS;
            call.writeLater(delayMs, call.completeResponse("run " + call.number()));
          }
        });

    Response response = environment.call("GET", "/slow/x", Map.of());

    assertEquals(200, response.status());
    assertEquals("run 2", response.body());
  }

  @Test
  @DisplayName("does not replace a failure that breaks off on the first connection")
  void failureThatBreaksOffIsNotReplacedBySecondRun() {
    environment.startScriptedEndpoint(
        call -> {
          if (call.number() == 1) {
            call.writeLater(SLOW_MS, "HTTP/1.1 500 Fai");
            call.vertx().setTimer(SLOW_MS + 20, fired -> call.socket().close());
          } else {
            long delayMs = call.id().isEmpty() ? 1 : SLOW_MS;
            call.writeLater(delayMs, call.completeResponse("run " + call.number()));
          }
        });

    assertEquals(502, environment.call("GET", "/slow/x", Map.of()).status());
  }

  @Test
  @DisplayName("closes both connections of a repeated request if its client disconnects")
  void bothRunsAreCancelledWhenClientDisconnects() throws IOException {
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              if (call.id().isEmpty()) {
                call.write(call.completeResponse("healthy"));
              }
            });
    try (RawClient client = new RawClient(environment.vm().clientPort())) {
      client.write(RawClient.head("GET /slow/x HTTP/1.1", "Host: h", "X-Request-Id: leaves"));
      Await.until("the request was repeated", () -> endpoint.requestIds().size() == 2);
    }

    Await.until("the connections are closed", () -> endpoint.openConnections() == 0);
  }

  @Test
  @DisplayName("sends an idempotent request again if the endpoint has no other traffic")
  void requestOnDeadConnectionIsServedWithoutOtherTraffic() {
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(SilentConnectionTest::respondUnlessFirst);

    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(2, endpoint.requestIds().size());
  }

  @Test
  @DisplayName("sends an idempotent request again if other connections carry responses")
  void requestOnDeadConnectionIsServedBesideOtherTraffic() {
    environment.startScriptedEndpoint(SilentConnectionTest::respondUnlessFirst);
    Future<Response> response = environment.begin("GET", "/safe/x");

    List<Integer> others = environment.sendAtRate(REQUESTS_PER_S, TRAFFIC_MS, "/safe/y");

    assertEquals(200, Await.result(response).status());
    assertEquals(Collections.nCopies(others.size(), 200), others);
  }

  @Test
  @DisplayName("runs a request once at an endpoint that accepts connections and never responds")
  void requestIsNotSentAgainToSilentEndpoint() {
    RawEndpoint endpoint = environment.startScriptedEndpoint(call -> {});

    assertEquals(504, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(1, endpoint.requestIds().size());
  }
}
