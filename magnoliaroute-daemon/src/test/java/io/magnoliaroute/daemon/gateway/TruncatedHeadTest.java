package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.RawClient;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that end inside their head and reach clients as complete ones. */
@DisplayName("A response that ends inside its head")
class TruncatedHeadTest {

  private static final Pattern CUT = Pattern.compile("cut-(\\d+)");
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: token 1\n\n";
  private static final String FIRST_EVENT_CHUNK = "15\r\n" + FIRST_EVENT + "\r\n";

  /** Longer than all heads that the scripts write. */
  private static final int MAX_HEAD_BYTES = 150;

  private static final int BYTES_BEFORE_STATUS = "HTTP/1.1 ".length();

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  /**
   * Closes the connection after the beginning of the head that the path of the request asks for.
   */
  private static void writeCutHead(
      RawEndpoint.Call call, String before, String head, boolean late) {
    Matcher cut = CUT.matcher(call.head());
    if (!cut.find()) {
      call.write(call.completeResponse("whole"));
      return;
    }
    int bytes = Math.min(Integer.parseInt(cut.group(1)), head.length() - 1);
    call.write(before + head.substring(0, bytes));
    // A reset discards bytes that have not arrived.
    if (late) {
      call.vertx().setTimer(3, fired -> call.socket().close());
    } else {
      call.socket().close();
    }
  }

  private static String[] fields(String form) {
    return form.isEmpty() ? new String[0] : form.split(";", -1);
  }

  private void assertNoneSucceeds(String method, String path) {
    List<Integer> statuses = new ArrayList<>();
    for (int cut = 1; cut < MAX_HEAD_BYTES; cut++) {
      statuses.addAll(environment.sendConcurrently(1, method, path + "cut-" + cut));
    }
    assertTrue(statuses.stream().allMatch(status -> status >= 500), statuses::toString);
    assertTrue(environment.countFailedAttempts() >= statuses.size(), "too few were sent");
  }

  @ParameterizedTest
  @CsvSource(
      value = {
        "Content-Length: 5|false",
        "Content-Length: 5|true",
        "Content-Length: 0|false",
        "Content-Length: 0;Connection: close|true",
        "Connection: close|false",
        "Connection: close|true",
        "Transfer-Encoding: chunked|false",
        "Transfer-Encoding: chunked|true",
        "''|false"
      },
      delimiter = '|')
  @DisplayName("is no success")
  void responseIsNoSuccess(String form, boolean resets) {
    environment.startScriptedEndpoint(
        call -> writeCutHead(call, "", call.head(fields(form)), resets), resets);

    assertNoneSucceeds("POST", "/unsafe/");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @DisplayName("is no success after an interim response")
  void responseAfterInterimIsNoSuccess(boolean resets) {
    environment.startScriptedEndpoint(
        call ->
            writeCutHead(
                call,
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
                call.head("Content-Length: 0"),
                resets),
        resets);

    assertNoneSucceeds("POST", "/unsafe/");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @DisplayName("is no success if it should be a stream")
  void streamIsNoSuccess(boolean resets) {
    environment.startScriptedEndpoint(
        call -> writeCutHead(call, "", call.eventStreamHead(), resets), resets);

    assertNoneSucceeds("POST", "/plainstream/");
  }

  @Test
  @DisplayName("is no success if it comes through another VM")
  void relayedResponseIsNoSuccess() throws IOException {
    VmLinks links = environment.joinSecondVmWithOwnLinks();
    environment.startScriptedEndpoint(
        links, call -> writeCutHead(call, "", call.head("Connection: close"), false), false);
    links.cut(EndpointLink.Cut.RESET);
    assertEquals(List.of(200), environment.sendConcurrently(1, "GET", "/safe/whole"));

    assertNoneSucceeds("POST", "/unsafe/");
  }

  @Test
  @DisplayName("is replaced by the whole response to a retry, unless it can become a failure")
  void retriedRequestGetsWholeResponse() {
    int[] attempts = {0};
    environment.startScriptedEndpoint(
        call -> {
          if (++attempts[0] % 2 == 0) {
            call.write(call.completeResponse("whole"));
          } else {
            writeCutHead(call, "", call.head("Content-Length: 0"), false);
          }
        });
    for (int cut = 1; cut < MAX_HEAD_BYTES; cut++) {
      attempts[0] = 0;
      GatewayTestEnvironment.Response response =
          environment.call("GET", "/safe/cut-" + cut, Map.of());
      if (cut <= BYTES_BEFORE_STATUS) {
        assertEquals(502, response.status());
        assertEquals(1, attempts[0]);
      } else {
        assertEquals(200, response.status());
        assertEquals("whole", response.body());
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Connection: close", "Transfer-Encoding: chunked"})
  @DisplayName("does not complete the stream that it should resume")
  void resumedStreamIsNotComplete(String form) throws IOException {
    environment.startScriptedEndpoint(
        call -> {
          if (call.head().toLowerCase(Locale.ROOT).contains("last-event-id")) {
            writeCutHead(call, "", call.head("Content-Type: text/event-stream", form), false);
          } else {
            String head =
                call.head("Content-Type: text/event-stream", "Transfer-Encoding: chunked");
            call.socket()
                .write(head + FIRST_EVENT_CHUNK)
                .onComplete(written -> call.socket().close());
          }
        });
    for (int cut = 1; cut < MAX_HEAD_BYTES; cut += 3) {
      try (RawClient client = new RawClient(environment.vm().clientPort())) {
        client.write(
            RawClient.head(
                "POST /stream/cut-" + cut + " HTTP/1.1",
                "Host: h",
                "X-Request-Id: s" + cut,
                "Content-Length: 0"));
        String received = client.readUntilClosed();
        assertFalse(received.endsWith(LAST_CHUNK), received);
        assertEquals(received.indexOf("HTTP/1.1"), received.lastIndexOf("HTTP/1.1"), received);
      }
    }
  }
}
