package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses that are replaced by those of a second run, started in a pause. */
@DisplayName("When a sound endpoint pauses while it runs an idempotent request, a VM")
class PausedEndpointTest {

  private static final long WORK_MS = 150;
  private static final long RESPONSE_DELAY_MS = 50;
  private static final int REQUESTS_IN_PROGRESS = 12;

  private GatewayTestEnvironment environment;
  private PausableEndpoints endpoints;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    endpoints.close();
    environment.close();
  }

  private void assertFailureIsPassedOn(Cut how, long pauseMs, int status) throws IOException {
    AtomicInteger runs = new AtomicInteger();
    endpoints =
        new PausableEndpoints(
            environment,
            2,
            call -> {
              boolean fails = !call.id().isEmpty() && runs.incrementAndGet() == 1;
              String response = call.completeResponse("body");
              call.writeLater(
                  RESPONSE_DELAY_MS,
                  fails ? response.replace("200 OK", status + " Failed") : response);
            });
    Future<Response> response = environment.begin("GET", "/safe/x");
    int index = endpoints.awaitRequest();

    endpoints.pause(index, how, pauseMs);

    assertEquals(status, Await.result(response).status());
    assertEquals(1, endpoints.requestIds().size());
  }

  @ParameterizedTest(name = "{0} ms, status {1}")
  @CsvSource({"1000,500", "1200,500", "1400,500", "1000,504", "1200,504", "1400,504"})
  @DisplayName("passes on the endpoint's failure, also if it accepted no connections meanwhile")
  void failureIsNotReplacedAfterPauseWithoutConnections(long pauseMs, int status)
      throws IOException {
    assertFailureIsPassedOn(Cut.SILENT, pauseMs, status);
  }

  @ParameterizedTest(name = "{0} ms, status {1}")
  @CsvSource({"1000,500", "1200,500", "1400,500", "1000,504", "1200,504", "1400,504"})
  @DisplayName("passes on the endpoint's failure, also if it accepted connections meanwhile")
  void failureIsNotReplacedAfterPauseWithConnections(long pauseMs, int status) throws IOException {
    assertFailureIsPassedOn(Cut.ACCEPTS_ONLY, pauseMs, status);
  }

  @Test
  @DisplayName("sends the request to no other endpoint, and suspects it of no crash")
  void requestsRunOnOneEndpointAndAreNotQuarantined() throws IOException {
    int count = 3;
    endpoints =
        new PausableEndpoints(
            environment, count, call -> call.writeLater(WORK_MS, call.completeResponse("body")));
    for (int i = 0; i < count; i++) {
      List<Future<Response>> responses = new ArrayList<>();
      int runBefore = endpoints.requestIds().size();
      for (int sent = 0; sent < REQUESTS_IN_PROGRESS; sent++) {
        responses.add(environment.begin("GET", "/safe/x"));
      }
      Await.until(
          "the endpoints run the requests",
          () -> endpoints.requestIds().size() == runBefore + REQUESTS_IN_PROGRESS);

      endpoints.pause(i, Cut.SILENT, 1_000);

      for (Future<Response> each : responses) {
        assertEquals(200, Await.result(each).status());
      }
      endpoints.awaitResumed();
      Await.until(
          "all endpoints are used",
          () -> environment.call("GET", "/safe/y", Map.of()).status() == 200);
    }

    assertEquals(List.of(), endpoints.requestsOnSeveralEndpoints());
    assertEquals(0, environment.countedCrashes());
    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
  }

  @Test
  @DisplayName("sends the request to no other endpoint if two of three pause together")
  void requestsRunOnOneEndpointIfTwoPause() throws IOException {
    endpoints =
        new PausableEndpoints(
            environment, 3, call -> call.writeLater(WORK_MS, call.completeResponse("body")));
    List<Future<Response>> responses = new ArrayList<>();
    for (int sent = 0; sent < REQUESTS_IN_PROGRESS; sent++) {
      responses.add(environment.begin("GET", "/safe/x"));
    }
    Await.until(
        "the endpoints run the requests",
        () -> endpoints.requestIds().size() == REQUESTS_IN_PROGRESS);

    endpoints.pause(0, Cut.SILENT, 1_000);
    endpoints.pause(1, Cut.SILENT, 1_000);

    for (Future<Response> each : responses) {
      assertEquals(200, Await.result(each).status());
    }
    assertEquals(List.of(), endpoints.requestsOnSeveralEndpoints());
  }
}
