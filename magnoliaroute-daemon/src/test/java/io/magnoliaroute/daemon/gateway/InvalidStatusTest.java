package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against statuses of faulty endpoints that reach clients, though they are none. */
@DisplayName("A response whose status is not a valid one")
class InvalidStatusTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private static String response(RawEndpoint.Call call, String status) {
    return "HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: 3\r\n\r\nodd"
        .formatted(status, call.id());
  }

  @ParameterizedTest
  @CsvSource({
    "000, /unsafe/x",
    "20, /unsafe/x",
    "099, /unsafe/x",
    "600, /unsafe/x",
    "1000, /unsafe/x",
    "000, /plainstream/x",
    "20, /plainstream/x",
    "600, /plainstream/x",
    "000, /safe/x"
  })
  @DisplayName("is no response: the client learns that the request may have run")
  void isNoResponse(String status, String path) {
    environment.startScriptedEndpoint(call -> call.write(response(call, status)));

    Response received = environment.call("POST", path, Map.of());

    assertEquals(502, received.status());
    assertEquals(null, received.headers().get("X-Server-Seal"));
  }

  @ParameterizedTest
  @CsvSource({"000, /safe/x", "600, /safe/x", "099, /stream/x"})
  @DisplayName("is no failure of the request, which is repeated where that is allowed")
  void isRepeated(String status, String path) {
    environment.startScriptedEndpoint(
        call ->
            call.write(
                call.number() == 1
                    ? response(call, status)
                    : call.completeResponse("id: 1\ndata: ok\n\n")));

    Response received = environment.call("POST", path, Map.of());

    assertEquals(200, received.status());
  }
}
