package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against second runs whose success replaces the failure that an endpoint answered with. */
@DisplayName("When an endpoint answers a repeatable request with a failure")
class ReplacedResponseTest {

  private static final String FAILURE = "HTTP/1.1 500 Failed\r\nX-Request-Id: %s\r\n";
  private static final String FAILURE_BODY =
      "X-Server-Seal: seal\r\nContent-Length: 6\r\n\r\nfailed";

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private static String failure(RawEndpoint.Call call) {
    return FAILURE.formatted(call.id()) + FAILURE_BODY;
  }

  @Test
  @DisplayName("behind a late copy of an earlier response, the client gets the failure")
  void failureBehindLateCopyIsNotReplaced() {
    String[] copy = {""};
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              if (call.number() == 2) {
                call.write(copy[0] + failure(call));
                return;
              }
              copy[0] = call.completeResponse("first");
              call.write(copy[0]);
            });
    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());

    Response response = environment.call("GET", "/safe/x", Map.of());

    assertEquals("500 failed", response.status() + " " + response.body());
    assertEquals(2, endpoint.requestIds().size());
  }

  @Test
  @DisplayName("and breaks the response off, the client gets no success")
  void failureThatBreaksOffIsNotReplaced() {
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              if (call.number() == 1) {
                call.write(failure(call).substring(0, failure(call).length() - 3));
                call.socket().close();
                return;
              }
              call.write(call.completeResponse("second"));
            });

    assertEquals(502, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(1, endpoint.requestIds().size());
  }

  @Test
  @DisplayName("behind a late copy and breaks the response off, the client gets no success")
  void failureThatBreaksOffBehindLateCopyIsNotReplaced() {
    String[] copy = {""};
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              if (call.number() == 2) {
                call.write(copy[0] + FAILURE.formatted(call.id()));
                call.socket().close();
                return;
              }
              copy[0] = call.completeResponse("first");
              call.write(copy[0]);
            });
    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());

    assertEquals(502, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(2, endpoint.requestIds().size());
  }

  @Test
  @DisplayName("after a pause, the client gets the failure")
  void failureAfterPauseIsNotReplaced() {
    environment.startScriptedEndpoint(
        call -> {
          if (call.number() == 1) {
            call.writeLater(1_500, failure(call));
          } else {
            call.writeLater(250, call.completeResponse("second"));
          }
        });

    assertEquals(500, environment.call("GET", "/safe/x", Map.of()).status());
  }
}
