package io.magnoliaroute.daemon.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.CallId;
import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import io.magnoliaroute.core.settings.EndpointSettings;
import io.magnoliaroute.daemon.request.ProblemException;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against responses of model engines that fill the memory of the caller. */
@DisplayName("A call to a model engine whose response does not end")
class EndlessEngineTest {

  private static final String REQUEST =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  private static final EndpointTimeouts TIMEOUTS = new EndpointTimeouts(500, 1_000, 1_000, 1_000);

  /** The limit of a response, and the bytes that the sockets of both sides may hold. */
  private static final long MAX_WRITTEN_BYTES = 2 * 4_194_304 + 16_777_216;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicLong writtenBytes = new AtomicLong();
  private final AtomicInteger closed = new AtomicInteger();

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  /** What the engine writes without end. */
  private enum Repeated {
    TOKENS(
        "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n".formatted("x".repeat(4_096))),
    TOOL_ARGUMENTS(
        "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"function\":{\"arguments\":\"%s\"}}]}}]}\n\n"
            .formatted("x".repeat(4_096))),
    TOOL_CALL_WITH_LARGE_INDEX(
        "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":2000000000}]}}]}\n\n"),
    TOOL_CALL_WITH_NEGATIVE_INDEX(
        "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{\"index\":-1}]}}]}\n\n"),
    ONE_EVENT("data: " + "x".repeat(4_096)),
    HEADER("X-More: " + "x".repeat(1_024) + "\r\n") {
      @Override
      String start() {
        return "HTTP/1.1 200 OK\r\n";
      }
    };

    private final String text;

    Repeated(String text) {
      this.text = text;
    }

    String start() {
      return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    }
  }

  private void writeOn(NetSocket socket, String text) {
    socket
        .write(text)
        .onSuccess(
            written -> {
              writtenBytes.addAndGet(text.length());
              vertx.runOnContext(next -> writeOn(socket, text));
            });
  }

  private int startEngine(Repeated repeated) {
    return Await.result(
            vertx
                .createNetServer()
                .connectHandler(
                    socket -> {
                      socket.exceptionHandler(e -> socket.close());
                      socket.closeHandler(end -> closed.incrementAndGet());
                      socket.handler(
                          bytes -> {
                            socket.handler(more -> {});
                            socket.write(repeated.start());
                            writeOn(socket, repeated.text);
                          });
                    })
                .listen(0, "127.0.0.1"))
        .actualPort();
  }

  @ParameterizedTest
  @EnumSource(Repeated.class)
  @DisplayName("fails and closes its connection")
  void fails(Repeated repeated) {
    EndpointSettings engine =
        new EndpointSettings(
            new EndpointId("e1"),
            "127.0.0.1",
            startEngine(repeated),
            new DataCentreId("dc"),
            1,
            0,
            false,
            false);
    Promise<EndpointFailure> failure = Promise.promise();
    EngineListener listener =
        new EngineListener() {
          @Override
          public void onTokens(Buffer events, int tokensSoFar) {}

          @Override
          public void onResponse(EngineResponse response) {
            failure.tryFail("a response without end is complete");
          }

          @Override
          public void onFailure(EndpointFailure newFailure) {
            failure.tryComplete(newFailure);
          }
        };
    vertx.runOnContext(
        scheduled -> {
          try {
            ChatRequest request =
                ChatRequest.parse(Bytes.copyOf(REQUEST.getBytes(StandardCharsets.UTF_8)));
            CallId call = new CallId(new ProgramId("p"), 1, 0);
            new EngineClient(vertx, TIMEOUTS)
                .call(engine, call, request, new JsonArray(), "", listener);
          } catch (ProblemException e) {
            failure.tryFail(e);
          }
        });

    assertEquals(EndpointFailure.Kind.BROKEN, Await.result(failure.future()).kind());
    Await.until("the connection is closed", () -> closed.get() == 1);
    assertTrue(writtenBytes.get() <= MAX_WRITTEN_BYTES, "accepted " + writtenBytes.get());
  }
}
