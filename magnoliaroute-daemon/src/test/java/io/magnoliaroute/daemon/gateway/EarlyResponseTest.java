package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.RawClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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
  private boolean responded;

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

  /** Starts an endpoint that reads only the head of the first run, and responds to it at once. */
  private RawEndpoint startEndpoint(int status, String framing, boolean resets) {
    return environment.startScriptedEndpoint(
        call -> respondEarly(call, failure(call, status, framing), environment::pauseVm), resets);
  }

  private void respondEarly(RawEndpoint.Call call, String failure, Supplier<Runnable> pauseVm) {
    if (!call.id().equals("early") || responded) {
      call.write(call.completeResponse("second run"));
      return;
    }
    responded = true;
    call.socket().pause();
    // The VM finds the response and the end of the connection at the same time.
    call.vertx()
        .setTimer(
            ARRIVAL_MS,
            fired -> {
              Runnable resumeVm = pauseVm.get();
              call.write(failure);
              call.vertx().setTimer(ARRIVAL_MS, written -> call.socket().close());
              call.vertx().setTimer(2 * ARRIVAL_MS, closed -> resumeVm.run());
            });
  }

  @ParameterizedTest
  @CsvSource({
    "/safe/x, 500, false",
    "/safe/x, 500, true",
    "/safe/x, 413, true",
    "/stream/x, 500, false",
    "/stream/x, 500, true"
  })
  @DisplayName("and closes the connection, the client gets the failure and not a second run")
  void failureIsNotReplacedBySecondRun(String path, int status, boolean resets) throws IOException {
    RawEndpoint endpoint = startEndpoint(status, "Content-Length: 5", resets);

    String response = send(path);

    assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
    assertTrue(response.endsWith("error"), response);
    assertEquals(List.of("early"), endpoint.requestIds());
    Await.until("the connections are closed", () -> endpoint.openConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @DisplayName("and only the end of the connection ends its failure, it is not replaced")
  void failureWithoutLengthIsNotReplacedBySecondRun(boolean resets) throws IOException {
    RawEndpoint endpoint = startEndpoint(500, "Connection: close", resets);

    String response = send("/safe/x");

    assertTrue(response.startsWith("HTTP/1.1 502 "), response);
    assertEquals(List.of("early"), endpoint.requestIds());
    Await.until("the connections are closed", () -> endpoint.openConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @DisplayName("and closes the connection to a relay, the client gets no second run")
  void relayedFailureIsNotReplacedBySecondRun(boolean hasLength) throws IOException {
    VmLinks links = environment.joinSecondVmWithOwnLinks();
    String framing = hasLength ? "Content-Length: 5" : "Connection: close";
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            links,
            call -> respondEarly(call, failure(call, 500, framing), environment::pauseSecondVm),
            true);
    links.cut(EndpointLink.Cut.RESET);
    assertEquals(List.of(200), environment.sendConcurrently(1, "GET", "/safe/x"));
    int runsBefore = endpoint.requestIds().size();

    String response = send("/safe/x");

    assertTrue(response.startsWith("HTTP/1.1 " + (hasLength ? 500 : 502) + " "), response);
    assertEquals(runsBefore + 1, endpoint.requestIds().size());
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
