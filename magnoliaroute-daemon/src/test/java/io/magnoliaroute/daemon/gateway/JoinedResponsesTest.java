package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against clients that get the head of one response with the body of another one. */
@DisplayName("A repeated response that is cut off right before the response to the next request")
class JoinedResponsesTest {

  private static final String OWN_BODY = "own response";

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  /** The response that the endpoint repeats in part. */
  private enum Form {
    ID_FIRST {
      @Override
      String text(RawEndpoint.Call call) {
        return call.completeResponse("earlier response, longer than the one that follows it");
      }
    },
    ID_LAST {
      @Override
      String text(RawEndpoint.Call call) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Type: text/plain\r\n"
            + "X-Server-Load: 1,2,3\r\nX-Server-Seal: seal\r\nX-Request-Id: "
            + call.id()
            + "\r\n\r\nearlier";
      }
    },
    LONG_BODY {
      @Override
      String text(RawEndpoint.Call call) {
        return call.completeResponse("earlier response".repeat(20));
      }
    },
    CHUNKED {
      @Override
      String text(RawEndpoint.Call call) {
        return call.head("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            + "11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";
      }
    },
    REFUSAL {
      @Override
      String text(RawEndpoint.Call call) {
        return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request-Id: "
            + call.id()
            + "\r\nContent-Length: 0\r\n\r\n";
      }
    };

    abstract String text(RawEndpoint.Call call);
  }

  private static String ownFailure(RawEndpoint.Call call) {
    return call.completeResponse(OWN_BODY).replace("200 OK", "500 Internal Server Error");
  }

  /** Repeats a part of the earlier response in front of the next one on the same connection. */
  private static final class CutScript implements RawEndpoint.Script {

    private final Form form;
    private final Map<NetSocket, String> earlier = new HashMap<>();
    private int cutBytes;
    private int lengthBytes = Integer.MAX_VALUE;
    private int cutResponses;

    CutScript(Form form) {
      this.form = form;
    }

    @Override
    public void respond(RawEndpoint.Call call) {
      String repeated = earlier.get(call.socket());
      if (call.id().startsWith("earlier")) {
        String response = form.text(call);
        lengthBytes = response.length();
        earlier.put(call.socket(), response);
        call.write(form == Form.REFUSAL ? call.completeResponse("") : response);
      } else if (repeated != null) {
        cutResponses++;
        respondCut(call, repeated.substring(0, cutBytes) + ownFailure(call));
      } else {
        call.write(call.completeResponse("run again"));
      }
    }
  }

  // The decoder must find the own id also if it arrives in two parts.
  private static void respondCut(RawEndpoint.Call call, String bytes) {
    int split = call.number() % 4 < 2 ? bytes.length() : bytes.lastIndexOf(call.id()) + 5;
    call.write(bytes.substring(0, split));
    if (split < bytes.length()) {
      call.writeLater(2, bytes.substring(split));
    }
  }

  private Response call(String path, String id) {
    return environment.call("POST", path, Map.of("X-Request-Id", id));
  }

  @ParameterizedTest
  @EnumSource(Form.class)
  @DisplayName("yields no success and no second run, wherever it is cut")
  void cutResponseIsNotJoined(Form form) {
    CutScript script = new CutScript(form);
    RawEndpoint endpoint = environment.startScriptedEndpoint(script);
    List<String> wrong = new ArrayList<>();
    int unreadable = 0;
    for (int cut = 1; cut < script.lengthBytes; cut++) {
      script.cutBytes = cut;
      for (String path : List.of("/safe/x", "/unsafe/x")) {
        String id = "";
        Response response = null;
        int cutResponsesBefore = script.cutResponses;
        // The pool may use another connection, which has carried no earlier request.
        for (int i = 0; i < 9 && script.cutResponses == cutResponsesBefore; i++) {
          // The lengths of the ids do not depend on the path.
          String suffix = path.charAt(1) + "-" + i + "-" + (1_000 + cut);
          call("/unsafe/x", "earlier-request-" + suffix);
          id = "next-request-" + suffix;
          response = call(path, id);
        }
        assertEquals(cutResponsesBefore + 1, script.cutResponses, "cut responses");

        int runs = Collections.frequency(endpoint.requestIds(), id);
        boolean isOwn = response.status() == 500 && response.body().equals(OWN_BODY);
        unreadable += response.status() == 502 ? 1 : 0;
        if (runs != 1 || !(isOwn || response.status() == 502)) {
          wrong.add(path + ", cut at " + cut + ": " + response.status() + ", runs " + runs);
        }
      }
    }
    assertEquals(List.of(), wrong);
    assertTrue(unreadable > 0, "no response was cut");
  }

  @Test
  @DisplayName("ends a stream that could be resumed instead of running it again")
  void cutResponseDoesNotResumeStream() {
    CutScript script = new CutScript(Form.ID_LAST);
    RawEndpoint endpoint = environment.startScriptedEndpoint(script);
    script.cutBytes = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Type: te".length();
    call("/unsafe/x", "earlier-request");

    assertEquals(502, call("/stream/x", "next-request").status());

    assertEquals(List.of("earlier-request", "next-request"), endpoint.requestIds());
  }
}
