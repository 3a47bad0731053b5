package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against streams that run twice because a paused engine does not report on them in time.
 */
@DisplayName("When an engine sends neither events nor reports for a while")
class PausedEngineTest {

  private static final int EVENTS = 5;
  private static final long EVENT_INTERVAL_MS = 600;
  private static final long LATE_REPORT_MS = 300;
  private static final long EVENT_DELAY_MS = 50;

  private final AtomicInteger emitted = new AtomicInteger();
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

  private void respond(RawEndpoint.Call call) {
    if (call.head().startsWith("GET /-/report")) {
      call.write(call.completeResponse(report()));
    } else {
      call.write(call.eventStreamHead());
      writeNextEvent(call, 1);
    }
  }

  private String report() {
    String id = endpoints.requestIds().isEmpty() ? "" : endpoints.requestIds().get(0);
    return "{\"waiting\":0,\"runs\":[[\"%s\",9,%d,0]]}".formatted(id, emitted.get());
  }

  private void writeNextEvent(RawEndpoint.Call call, int number) {
    call.vertx()
        .setTimer(
            EVENT_INTERVAL_MS,
            fired -> {
              if (number > EVENTS) {
                call.socket().close();
                return;
              }
              call.write(event(number));
              emitted.set(number);
              writeNextEvent(call, number + 1);
            });
  }

  private static String event(int number) {
    return "id: " + number + "\ndata: token " + number + "\n\n";
  }

  @ParameterizedTest(name = "{0} ms")
  @ValueSource(longs = {1_400, 1_900})
  @DisplayName("a stream goes on at it afterwards")
  void streamGoesOn(long pauseMs) throws IOException {
    endpoints = new PausableEndpoints(environment, 2, this::respond);
    Future<Response> response = environment.begin("POST", "/stream/x");
    int index = endpoints.awaitRequest();

    endpoints.pause(index, Cut.ACCEPTS_ONLY, pauseMs);

    StringBuilder events = new StringBuilder();
    for (int i = 1; i <= EVENTS; i++) {
      events.append(event(i));
    }
    assertEquals(events.toString(), Await.result(response).body());
    assertEquals(1, endpoints.requestIds().size());
  }

  @Test
  @DisplayName("a stream goes on at it if the late report counts an event that arrives after it")
  void streamGoesOnIfItsEventArrivesAfterLateReport() throws IOException {
    AtomicReference<RawEndpoint.Call> stream = new AtomicReference<>();
    endpoints =
        new PausableEndpoints(
            environment,
            2,
            call -> {
              if (!call.head().startsWith("GET /-/report")) {
                call.write(call.eventStreamHead());
                stream.set(call);
                return;
              }
              emitted.set(1);
              call.writeLater(LATE_REPORT_MS, call.completeResponse(report()));
              call.vertx()
                  .setTimer(
                      LATE_REPORT_MS + EVENT_DELAY_MS,
                      fired -> {
                        stream.get().write(event(1));
                        stream.get().socket().end();
                      });
            });

    Response response = environment.call("POST", "/stream/x", Map.of());

    assertEquals(event(1), response.body());
    assertEquals(1, endpoints.requestIds().size());
  }
}
