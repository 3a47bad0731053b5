package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests that are reported as not run on account of an earlier refusal. */
@DisplayName("When an endpoint writes the refusal of an earlier request once more")
class RepeatedRefusalTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  /** The moment at which the endpoint repeats the refusal. */
  private enum Moment {
    WITH_THE_REFUSAL {
      @Override
      void refuse(RawEndpoint.Call call, String refusal) {
        call.write(refusal + refusal);
      }
    },
    WHILE_THE_CONNECTION_IS_IDLE {
      @Override
      void refuse(RawEndpoint.Call call, String refusal) {
        call.write(refusal);
        call.writeLater(50, refusal);
      }
    },
    BEFORE_THE_NEXT_RESPONSE {
      @Override
      void respond(RawEndpoint.Call call, String refusal) {
        call.write(refusal);
        call.writeLater(50, call.completeResponse("late"));
      }
    },
    TOGETHER_WITH_THE_NEXT_RESPONSE {
      @Override
      void respond(RawEndpoint.Call call, String refusal) {
        call.write(refusal + call.completeResponse("late"));
      }
    };

    void refuse(RawEndpoint.Call call, String refusal) {
      call.write(refusal);
    }

    void respond(RawEndpoint.Call call, String refusal) {
      call.write(call.completeResponse("true"));
    }
  }

  private static String refusal(String status, String idLine) {
    return "HTTP/1.1 " + status + "\r\n" + idLine + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private void assertNeverReportedAsNotRun(Moment moment, String status, boolean withId) {
    Map<NetSocket, String> refusals = new HashMap<>();
    RawEndpoint endpoint =
        environment.startScriptedEndpoint(
            call -> {
              String refusal = refusal(status, withId ? "X-Request-Id: " + call.id() + "\r\n" : "");
              if (call.number() == 1) {
                refusals.put(call.socket(), refusal);
                moment.refuse(call, refusal);
              } else if (refusals.containsKey(call.socket())) {
                moment.respond(call, refusals.get(call.socket()));
              } else {
                call.writeLater(30, call.completeResponse("true"));
              }
            });
    environment.call("POST", "/unsafe/x", Map.of("X-Request-Id", "refused"));
    List<Integer> statuses = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      // Concurrent requests use all idle connections, also the one that carried the refusal.
      statuses.addAll(environment.sendConcurrently(3, "POST", "/unsafe/x"));
    }
    assertEquals(Collections.nCopies(9, 200), statuses);
    List<String> received = new ArrayList<>(endpoint.requestIds());
    received.removeIf("refused"::equals);
    assertEquals(9, received.size(), received.toString());
    assertEquals(9, Set.copyOf(received).size(), received.toString());
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource
  @DisplayName("with its id, no other request is reported as not run or sent again")
  void refusalWithId(Moment moment) {
    assertNeverReportedAsNotRun(moment, "503 Service Unavailable", true);
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource
  @DisplayName("without an id, no other request is reported as not run or sent again")
  void refusalWithoutId(Moment moment) {
    assertNeverReportedAsNotRun(moment, "429 Too Many Requests", false);
  }
}
