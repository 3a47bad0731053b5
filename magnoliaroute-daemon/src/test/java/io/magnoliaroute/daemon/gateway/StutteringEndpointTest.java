package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that are lost or replaced because a surplus one precedes them. */
@DisplayName("When an endpoint repeats the response to an earlier request")
class StutteringEndpointTest {

  private static final String EARLIER_BODY = "earlier response";
  private static final String OWN_BODY = "own response";
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  /** The response that the endpoint repeats. */
  private enum Form {
    SUCCESS {
      @Override
      String text(RawEndpoint.Call call) {
        return call.completeResponse(EARLIER_BODY);
      }
    },
    FAILURE {
      @Override
      String text(RawEndpoint.Call call) {
        return failure(call, EARLIER_BODY);
      }
    },
    REFUSAL_WITH_ID {
      @Override
      String text(RawEndpoint.Call call) {
        return refusal("X-Request-Id: " + call.id() + "\r\n");
      }
    },
    REFUSAL_WITHOUT_ID {
      @Override
      String text(RawEndpoint.Call call) {
        return refusal("");
      }
    },
    NO_CONTENT {
      @Override
      String text(RawEndpoint.Call call) {
        return call.head(new String[0]).replace("200 OK", "204 No Content");
      }
    },
    STREAM {
      @Override
      String text(RawEndpoint.Call call) {
        String head = call.head("Content-Type: text/event-stream", "Transfer-Encoding: chunked");
        return head + "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";
      }
    };

    abstract String text(RawEndpoint.Call call);
  }

  /** The moment at which the endpoint repeats the response. */
  private enum Moment {
    RIGHT_BEHIND_IT {
      @Override
      void respondFirst(RawEndpoint.Call call, String response) {
        call.write(response + response);
      }
    },
    WHILE_THE_CONNECTION_IS_IDLE {
      @Override
      void respondFirst(RawEndpoint.Call call, String response) {
        call.write(response);
        call.writeLater(30, response);
      }
    },
    AFTER_THE_NEXT_REQUEST {
      @Override
      void respondNext(RawEndpoint.Call call, String repeated, String own) {
        call.write(repeated);
        call.writeLater(30, own);
      }
    },
    IN_TWO_PARTS_AFTER_THE_NEXT_REQUEST {
      @Override
      void respondNext(RawEndpoint.Call call, String repeated, String own) {
        int half = repeated.length() / 2;
        call.write(repeated.substring(0, half));
        call.writeLater(10, repeated.substring(half));
        call.writeLater(30, own);
      }
    },
    TOGETHER_WITH_THE_NEXT_RESPONSE {
      @Override
      void respondNext(RawEndpoint.Call call, String repeated, String own) {
        call.write(repeated + own);
      }
    },
    TWICE_BEFORE_THE_NEXT_RESPONSE {
      @Override
      void respondNext(RawEndpoint.Call call, String repeated, String own) {
        call.write(repeated + repeated + own);
      }
    },
    WITH_AN_INTERIM_RESPONSE_BEHIND_IT {
      @Override
      void respondNext(RawEndpoint.Call call, String repeated, String own) {
        call.write(INTERIM + repeated + INTERIM + own);
      }
    };

    void respondFirst(RawEndpoint.Call call, String response) {
      call.write(response);
    }

    void respondNext(RawEndpoint.Call call, String repeated, String own) {
      call.write(own);
    }

    boolean isBeforeNextRequest() {
      return this == RIGHT_BEHIND_IT || this == WHILE_THE_CONNECTION_IS_IDLE;
    }
  }

  private static String failure(RawEndpoint.Call call, String body) {
    return call.completeResponse(body).replace("200 OK", "500 Internal Server Error");
  }

  private static String refusal(String idLine) {
    return "HTTP/1.1 503 Full\r\n" + idLine + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /**
   * Starts an endpoint that responds to the first request on each connection normally and to
   * further ones as the script defines.
   */
  private RawEndpoint startEndpoint(RawEndpoint.Script onFirst, RawEndpoint.Script onNext) {
    Set<NetSocket> used = new HashSet<>();
    return environment.startScriptedEndpoint(
        call -> (used.add(call.socket()) ? onFirst : onNext).respond(call));
  }

  private Response call(String path, String id) {
    return environment.call("POST", path, Map.of("X-Request-Id", id));
  }

  private void assertSent(RawEndpoint endpoint, String... ids) {
    assertEquals(List.of(ids), endpoint.requestIds());
  }

  /** Repeats the response to the request "earlier" at a given moment. */
  private static final class Stutterer implements RawEndpoint.Script {

    private final Moment moment;
    private final Map<NetSocket, String> repeated = new HashMap<>();
    private Form form;

    Stutterer(Moment moment) {
      this.moment = moment;
    }

    @Override
    public void respond(RawEndpoint.Call call) {
      boolean isEarlier = call.id().startsWith("earlier");
      if (repeated.containsKey(call.socket())) {
        moment.respondNext(call, repeated.get(call.socket()), failure(call, OWN_BODY));
      } else if (isEarlier && form != null) {
        String response = form.text(call);
        form = null;
        repeated.put(call.socket(), response);
        moment.respondFirst(call, response);
      } else {
        // Only a connection with a repeated response remains open.
        String body = isEarlier ? "retry" : OWN_BODY;
        call.write(failure(call, body).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
      }
    }
  }

  @ParameterizedTest
  @EnumSource(Moment.class)
  @DisplayName("the next client gets the response to its own request, which runs once")
  void ownResponseIsNotReplaced(Moment moment) {
    Stutterer script = new Stutterer(moment);
    RawEndpoint endpoint = environment.startScriptedEndpoint(script);
    List<String> sent = new ArrayList<>();
    for (Form form : Form.values()) {
      for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x")) {
        script.form = form;
        String name = form + path;
        call("/unsafe/x", "earlier" + name);
        if (moment.isBeforeNextRequest()) {
          Await.until("the connection is closed", () -> endpoint.openConnections() == 0);
        }
        sent.add(name);

        Response response = call(path, name);

        assertEquals(500, response.status(), name);
        assertEquals(OWN_BODY, response.body(), name);
        Await.until("the connection is closed", () -> endpoint.openConnections() == 0);
      }
    }
    List<String> run = new ArrayList<>(endpoint.requestIds());
    run.removeIf(id -> id.startsWith("earlier"));
    assertEquals(sent, run);
    assertEquals(!moment.isBeforeNextRequest(), environment.countSurplusResponses() > 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x"})
  @DisplayName("its connection is not used again")
  void connectionIsNotUsedAgain(String path) {
    List<String> socketsOfRequests = new ArrayList<>();
    startEndpoint(
        call -> {
          socketsOfRequests.add(call.id() + " on new");
          call.write(call.completeResponse(EARLIER_BODY));
        },
        call -> {
          socketsOfRequests.add(call.id() + " on used");
          call.write(
              call.completeResponse(EARLIER_BODY).replace("Id: " + call.id(), "Id: 1")
                  + failure(call, OWN_BODY));
        });
    call("/safe/x", "1");
    assertEquals(500, call(path, "2").status());

    assertEquals(200, call("/safe/x", "3").status());

    assertEquals(List.of("1 on new", "2 on used", "3 on new"), socketsOfRequests);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x"})
  @DisplayName("without end, a request is reported as possibly run and its connection closed")
  void endlessSurplusResponseEndsRequest(String path) {
    RawEndpoint endpoint =
        startEndpoint(
            call -> call.write(call.completeResponse(EARLIER_BODY)),
            call -> {
              String head = call.head("Transfer-Encoding: chunked");
              call.write(head.replace("Id: " + call.id(), "Id: 1"));
              call.writeRepeatedly("2000\r\n" + "x".repeat(8_192) + "\r\n");
            });
    call("/safe/x", "1");

    assertEquals(502, call(path, "2").status());

    assertSent(endpoint, "1", "2");
    Await.until("the connection is closed", () -> endpoint.openConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x"})
  @DisplayName("again and again, a request is reported as possibly run and its connection closed")
  void surplusResponsesWithoutEndEndRequest(String path) {
    RawEndpoint endpoint =
        startEndpoint(
            call -> call.write(call.completeResponse(EARLIER_BODY)),
            call ->
                call.writeRepeatedly(
                    call.completeResponse(EARLIER_BODY).replace("Id: " + call.id(), "Id: 1")));
    call("/safe/x", "1");

    assertEquals(502, call(path, "2").status());

    assertSent(endpoint, "1", "2");
    Await.until("the connection is closed", () -> endpoint.openConnections() == 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x"})
  @DisplayName("without a length, a request is reported as possibly run")
  void surplusResponseWithoutLengthEndsRequest(String path) {
    RawEndpoint endpoint =
        startEndpoint(
            call -> call.write(call.completeResponse(EARLIER_BODY)),
            call -> {
              String head = call.head("Connection: keep-alive");
              String repeated = head.replace("Id: " + call.id(), "Id: 1") + EARLIER_BODY;
              call.write(repeated + failure(call, OWN_BODY));
            });
    call("/safe/x", "1");

    assertEquals(502, call(path, "2").status());

    assertSent(endpoint, "1", "2");
  }

  /** What follows the request on a connection that never carries the response to it. */
  private enum Surplus {
    WHOLE {
      @Override
      void respond(RawEndpoint.Call call) {
        call.write(call.completeResponse(EARLIER_BODY).replace("Id: " + call.id(), "Id: 1"));
      }
    },
    SLOW_CHUNKS {
      @Override
      void respond(RawEndpoint.Call call) {
        String head = call.head("Transfer-Encoding: chunked");
        call.write(head.replace("Id: " + call.id(), "Id: 1"));
        call.writePeriodically(50, "1\r\nx\r\n");
      }
    };

    abstract void respond(RawEndpoint.Call call);
  }

  @ParameterizedTest
  @EnumSource(Surplus.class)
  @DisplayName("instead of the own one, an idempotent request is sent again before its deadline")
  void surplusBytesDoNotHideSilentConnection(Surplus surplus) {
    RawEndpoint endpoint =
        startEndpoint(call -> call.write(call.completeResponse(EARLIER_BODY)), surplus::respond);
    call("/safe/x", "1");

    assertEquals(200, call("/safe/x", "2").status());

    assertSent(endpoint, "1", "2", "2");
  }

  @ParameterizedTest
  @EnumSource(Surplus.class)
  @DisplayName("instead of the own one, an action ends at its deadline")
  void actionWithoutOwnResponseEndsAtItsDeadline(Surplus surplus) {
    RawEndpoint endpoint =
        startEndpoint(call -> call.write(call.completeResponse(EARLIER_BODY)), surplus::respond);
    call("/safe/x", "1");

    assertEquals(504, call("/unsafe/x", "2").status());

    assertSent(endpoint, "1", "2");
  }

  @Test
  @DisplayName("no connection carries two attempts of a request")
  void connectionCarriesEachRequestOnce() {
    Set<String> carried = new HashSet<>();
    List<String> repeated = new ArrayList<>();
    environment.startScriptedEndpoint(
        call -> {
          if (!carried.add(System.identityHashCode(call.socket()) + " " + call.id())) {
            repeated.add(call.id());
          }
          if (call.number() % 3 == 0) {
            call.write(refusal("X-Request-Id: " + call.id() + "\r\n"));
          } else {
            call.write(call.completeResponse(OWN_BODY));
          }
        });
    for (int i = 0; i < 60; i++) {
      assertTrue(call(i % 2 == 0 ? "/safe/x" : "/unsafe/x", "r" + i / 3).status() < 501);
    }
    assertEquals(List.of(), repeated);
  }

  @Test
  @DisplayName("to a HEAD request, the next client gets the response to its own request")
  void headResponseHasNoBody() {
    Map<NetSocket, String> earlier = new HashMap<>();
    RawEndpoint endpoint =
        startEndpoint(
            call -> {
              earlier.put(call.socket(), call.head("Content-Length: 300"));
              call.write(call.head("Content-Length: 300"));
            },
            call -> call.write(earlier.get(call.socket()) + failure(call, OWN_BODY)));
    environment.call("HEAD", "/safe/x", Map.of("X-Request-Id", "1"));

    Response response = call("/safe/x", "2");

    assertEquals(500, response.status());
    assertEquals(OWN_BODY, response.body());
    assertSent(endpoint, "1", "2");
  }
}
