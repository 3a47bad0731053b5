package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.RawClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against responses that are lost because the endpoint has not read the whole request. */
@DisplayName("When an endpoint responds before it has read a long request")
class EarlyResponseTest {

  /** More than the socket buffers between two processes take while nobody reads. */
  private static final int BODY_BYTES = 4_150_000;

  private static final String BODY_END = "end";

  /** Time in which the bytes of the endpoint reach the paused VM. */
  private static final long ARRIVAL_MS = 50;

  /** The endpoint reads the head together with the beginning of the body. */
  private static final int MAX_FIRST_READ_BYTES = 65_536;

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private static String body() {
    return "b".repeat(BODY_BYTES - BODY_END.length()) + BODY_END;
  }

  /** Sends a long request and returns the response, or what was received of it. */
  private String send(String path) throws IOException {
    try (RawClient client = new RawClient(environment.vm().clientPort())) {
      client.write(
          RawClient.head(
              "POST " + path + " HTTP/1.1",
              "Host: h",
              "X-Request-Id: early",
              "Content-Length: " + BODY_BYTES));
      client.write(body());
      return client.readResponse();
    }
  }

  private static String failure(RawEndpoint.Call call, int status, String framing) {
    return "HTTP/1.1 %d E\r\nX-Request-Id: %s\r\n%s\r\n\r\nerror"
        .formatted(status, call.id(), framing);
  }

  @Test
  @DisplayName("and keeps the connection open, no other request follows on that connection")
  void connectionWithUnwrittenRequestIsNotReused() throws IOException {
    List<NetSocket> sockets = new ArrayList<>();
    environment.startScriptedEndpoint(
        call -> {
          sockets.add(call.socket());
          if (call.number() == 1) {
            call.socket().pause();
            call.write(failure(call, 500, "Content-Length: 5"));
          } else {
            call.write(call.completeResponse("whole"));
          }
        });
    assertTrue(send("/safe/x").endsWith("error"));

    assertEquals(List.of(200), environment.sendConcurrently(1, "GET", "/safe/x"));

    assertNotSame(sockets.get(0), sockets.get(1));
    assertEquals(0, environment.countFailedAttempts());
    sockets.get(0).handler(bytes -> {}).resume();
  }

  @Test
  @DisplayName("and reads on later, the endpoint gets the whole request")
  void requestIsWrittenWhole() throws IOException {
    StringBuilder rest = new StringBuilder();
    environment.startScriptedEndpoint(
        call -> {
          call.socket().pause();
          call.socket()
              .handler(
                  bytes -> {
                    rest.append(bytes);
                    if (bytes.toString().endsWith("d")) {
                      call.write(call.completeResponse("whole"));
                    }
                  });
          call.vertx().setTimer(ARRIVAL_MS, fired -> call.socket().resume());
        });
    String response = send("/safe/x");

    assertTrue(response.endsWith("whole"), response);
    assertTrue(body().endsWith(rest.toString()), "the body was changed");
    assertTrue(rest.length() > BODY_BYTES - MAX_FIRST_READ_BYTES, "bytes " + rest.length());
  }
}
