package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against clients that find the text of an error in a stream, or a stream cut short. */
@DisplayName("When a stream has broken off, and the endpoint that should resume it responds with")
class ResumedStreamErrorTest {

  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT_CHUNK = "15\r\nid: 1\ndata: token 1\n\n\r\n";
  private static final String ERROR = "data: error text\n\n";

  private final Vertx vertx = Vertx.vertx();
  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
    Await.result(vertx.close());
  }

  /** A response to an attempt to resume a stream that does not continue it. */
  private enum Refusal {
    ERROR_STATUS {
      @Override
      String text(RawEndpoint.Call call) {
        return response(call, "500 Internal Server Error", "X-Server-Seal: seal");
      }
    },
    REFUSAL_WITH_BODY {
      @Override
      String text(RawEndpoint.Call call) {
        return response(call, "503 Service Unavailable", "X-Not-Run: 1");
      }
    },
    ERROR_THAT_ENDS_WITH_ITS_CONNECTION {
      @Override
      String text(RawEndpoint.Call call) {
        return "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: "
            + call.id()
            + "\r\n\r\n"
            + ERROR;
      }
    },
    SUCCESS_WITHOUT_EVENTS {
      @Override
      String text(RawEndpoint.Call call) {
        return response(call, "200 OK", "X-Server-Seal: seal\r\nContent-Type: text/plain");
      }
    };

    abstract String text(RawEndpoint.Call call);

    private static String response(RawEndpoint.Call call, String status, String headers) {
      return "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s"
          .formatted(status, call.id(), headers, ERROR.length(), ERROR);
    }
  }

  @ParameterizedTest(name = "{0}")
  @EnumSource
  @DisplayName("an error, the client's response ends early, without the error")
  void clientSeesNoErrorAndNoEnd(Refusal refusal) {
    environment.startScriptedEndpoint(
        call -> {
          String text =
              call.number() == 1
                  ? call.head("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
                      + FIRST_EVENT_CHUNK
                  : refusal.text(call);
          call.socket().write(text).onComplete(written -> call.socket().close());
        });

    String received = receiveRaw();

    assertTrue(received.contains("token 1"), received);
    assertFalse(received.contains("error text"), received);
    assertFalse(received.endsWith(LAST_CHUNK), received);
    assertEquals(received.indexOf("HTTP/1.1"), received.lastIndexOf("HTTP/1.1"), received);
  }

  /** Sends a request and returns all bytes up to the end of the connection. */
  private String receiveRaw() {
    Buffer received = Buffer.buffer();
    Promise<Void> closed = Promise.promise();
    vertx
        .createNetClient()
        .connect(environment.vm().clientPort(), "127.0.0.1")
        .onFailure(closed::tryFail)
        .onSuccess(
            socket -> {
              socket.handler(received::appendBuffer);
              socket.closeHandler(end -> closed.tryComplete());
              socket.write(
                  "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
            });
    Await.result(closed.future());
    return received.toString();
  }
}
