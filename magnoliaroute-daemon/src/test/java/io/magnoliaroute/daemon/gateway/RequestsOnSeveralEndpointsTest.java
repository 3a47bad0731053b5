package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that run on a second endpoint while the first one goes on with them. */
@DisplayName("A request whose route allows one endpoint runs on no other one")
class RequestsOnSeveralEndpointsTest {

  private static final int REQUESTS = 12;
  private static final long WORK_MS = 700;
  private static final int BAD_GATEWAY = 502;

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  @Nested
  @DisplayName("if its endpoint, seen from one VM,")
  class SoundEndpoint {

    private PausableEndpoints endpoints;

    @AfterEach
    void stopEndpoints() throws IOException {
      endpoints.close();
    }

    private List<Future<Response>> beginRequests(String path, long workMs) throws IOException {
      endpoints =
          new PausableEndpoints(
              environment,
              3,
              call ->
                  call.writeLater(
                      workMs,
                      call.head().contains("/stream/")
                          ? event(call)
                          : call.completeResponse("body")));
      List<Future<Response>> responses = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        responses.add(environment.begin("GET", path));
      }
      Await.until("the endpoints run them", () -> endpoints.requestIds().size() == REQUESTS);
      return responses;
    }

    private static String event(RawEndpoint.Call call) {
      String event = "id: 1\ndata: token\n\n";
      return call.head("Content-Type: text/event-stream", "Content-Length: " + event.length())
          + event;
    }

    private static List<Integer> statuses(List<Future<Response>> responses) {
      return responses.stream().map(each -> Await.result(each).status()).toList();
    }

    @ParameterizedTest(name = "{0} ms, {1}")
    @CsvSource({"1800,/slow/x", "2500,/slow/x", "1800,/stream/x", "2500,/stream/x"})
    @DisplayName("falls silent for longer than it usually does")
    void endpointIsSilentForLong(long pauseMs, String path) throws IOException {
      List<Future<Response>> responses = beginRequests(path, WORK_MS);
      int paused = endpoints.busiest();
      int runAtOthers = REQUESTS - endpoints.countRequests(paused);

      endpoints.pause(paused, Cut.SILENT, pauseMs);

      List<Integer> statuses = statuses(responses);
      assertEquals(List.of(), endpoints.requestsOnSeveralEndpoints());
      assertTrue(List.of(200, BAD_GATEWAY).containsAll(statuses), statuses.toString());
      assertTrue(Collections.frequency(statuses, 200) >= runAtOthers, statuses.toString());
    }

    @ParameterizedTest(name = "{0}, {1} ms of work")
    @CsvSource({"/slow/x,1400", "/stream/x,1400", "/slow/x,700", "/stream/x,700"})
    @DisplayName("accepts no further connections, also after its open ones have become idle")
    void endpointIsFull(String path, long workMs) throws IOException {
      List<Future<Response>> responses = beginRequests(path, workMs);
      int full = endpoints.busiest();

      endpoints.pause(full, Cut.REFUSES_NEW, 1_000);
      endpoints.resetOldestConnections(full, 2);

      assertEquals(Collections.nCopies(REQUESTS, 200), statuses(responses));
      assertEquals(List.of(), endpoints.requestsOnSeveralEndpoints());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/slow/x", "/stream/x"})
  @DisplayName("if the VM that relays its connection dies")
  void relayDies(String path) throws IOException {
    VmLinks links = environment.joinSecondVmWithOwnLinks();
    links.cut(Cut.RESET);
    Await.until(
        "a request is served through the relay",
        () -> Await.result(environment.begin("GET", "/safe/x")).status() == 200);
    environment.setNextBehaviour(Behaviour.HANGS);
    int executedBefore = environment.executedRequests().size();
    int firstBefore = environment.firstEndpoint().executedRequestIds().size();
    Future<Response> response = environment.begin("POST", path);
    Await.until(
        "an endpoint runs the request",
        () -> environment.executedRequests().size() > executedBefore);
    boolean atFirst = environment.firstEndpoint().executedRequestIds().size() > firstBefore;
    environment.clearBehaviours();
    links.restore(atFirst ? 1 : 0);

    environment.killSecondVm();

    assertEquals(BAD_GATEWAY, Await.result(response).status());
    assertEquals(executedBefore + 1, environment.executedRequests().size());
  }
}
