package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are cut or run again because a sound endpoint pauses. */
@DisplayName("When an endpoint neither reads, writes nor accepts connections for a while")
class SilentEndpointTest {

  private static final int EVENTS = 5;
  private static final long EVENT_INTERVAL_MS = 100;

  private final Vertx vertx = Vertx.vertx();
  private Future<Void> restored = Future.succeededFuture();
  private GatewayTestEnvironment environment;
  private VmLinks links;

  @BeforeEach
  void start() throws IOException {
    environment = new GatewayTestEnvironment();
    links = environment.joinSecondVmWithOwnLinks();
  }

  @AfterEach
  void stop() throws IOException {
    Await.result(restored);
    environment.close();
    Await.result(vertx.close());
  }

  private RawEndpoint startEndpoint(RawEndpoint.Script script) throws IOException {
    RawEndpoint endpoint = environment.startScriptedEndpoint(links, script, false);
    environment.killSecondVm();
    return endpoint;
  }

  private void pauseEndpoint(long pauseMs) throws IOException {
    links.cut(Cut.SILENT);
    restored =
        vertx
            .timer(pauseMs, TimeUnit.MILLISECONDS)
            .compose(
                fired ->
                    vertx.executeBlocking(
                        () -> {
                          links.restore();
                          return null;
                        }));
  }

  private static void writeEvents(RawEndpoint.Call call) {
    call.write(call.eventStreamHead());
    for (int i = 1; i <= EVENTS; i++) {
      call.writeLater(i * EVENT_INTERVAL_MS, event(i));
    }
    call.vertx().setTimer((EVENTS + 1) * EVENT_INTERVAL_MS, fired -> call.socket().close());
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: token " + number + "\n\n";
  }

  @ParameterizedTest(name = "{0} ms")
  @ValueSource(longs = {500, 1_000, 1_300})
  @DisplayName("a stream goes on at it afterwards")
  void streamGoesOn(long pauseMs) throws IOException {
    assertStreamGoesOn("/stream/x", pauseMs);
  }

  @ParameterizedTest(name = "{0} ms")
  @ValueSource(longs = {1_500, 2_000})
  @DisplayName("a stream that cannot be resumed goes on at it afterwards")
  void streamThatCannotBeResumedGoesOn(long pauseMs) throws IOException {
    assertStreamGoesOn("/plainstream/x", pauseMs);
  }

  private void assertStreamGoesOn(String path, long pauseMs) throws IOException {
    RawEndpoint endpoint = startEndpoint(SilentEndpointTest::writeEvents);
    Future<Response> response = environment.begin("POST", path);
    Await.until("the endpoint has the request", () -> endpoint.requestIds().size() == 1);

    pauseEndpoint(pauseMs);

    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      events.append(event(i));
    }
    assertEquals(events.toString(), Await.result(response).body());
    assertEquals(1, endpoint.requestIds().size());
  }

  @ParameterizedTest(name = "{0} ms")
  @ValueSource(longs = {500, 1_000, 1_300})
  @DisplayName("a non-idempotent request gets its response afterwards")
  void requestIsAnswered(long pauseMs) throws IOException {
    RawEndpoint endpoint =
        startEndpoint(call -> call.writeLater(100, call.completeResponse("late")));
    Future<Response> response = environment.begin("POST", "/unsafe/x");
    Await.until("the endpoint has the request", () -> endpoint.requestIds().size() == 1);

    pauseEndpoint(pauseMs);

    assertEquals(200, Await.result(response).status());
    assertEquals(1, endpoint.requestIds().size());
  }
}
