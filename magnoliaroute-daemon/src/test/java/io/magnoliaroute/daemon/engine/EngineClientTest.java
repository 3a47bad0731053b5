package io.magnoliaroute.daemon.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against responses of one call that are read as the response to another call. */
@DisplayName("A client of model engines")
final class EngineClientTest {

  private static final String REQUEST =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger calls = new AtomicInteger();
  private EngineClient client;
  private EndpointSettings engine;

  @BeforeEach
  void start() {
    NetServer server = vertx.createNetServer().connectHandler(this::serve);
    int port = Await.result(server.listen(0, "127.0.0.1")).actualPort();
    client = new EngineClient(vertx, EndpointTimeouts.defaults());
    engine =
        new EndpointSettings(
            new EndpointId("e1"), "127.0.0.1", port, new DataCentreId("dc"), 1, 0, false, false);
  }

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  /** Repeats the earlier responses of the connection before each response. */
  private void serve(NetSocket socket) {
    Buffer earlierResponses = Buffer.buffer();
    socket.handler(
        bytes -> {
          if (bytes.toString().contains("\r\n\r\n")) {
            earlierResponses.appendString(response(calls.incrementAndGet()));
            socket.write(earlierResponses.copy());
          }
        });
  }

  private static String response(int call) {
    String events =
        "data: {\"choices\":[{\"delta\":{\"content\":\"call %d\"},\"finish_reason\":\"stop\"}]}\n\n"
                .formatted(call)
            + "data: [DONE]\n\n";
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: "
        + events.length()
        + "\r\n\r\n"
        + events;
  }

  private String textOfCall(int turn) {
    Promise<String> text = Promise.promise();
    EngineListener listener =
        new EngineListener() {
          @Override
          public void onTokens(Buffer events, int tokensSoFar) {}

          @Override
          public void onResponse(EngineResponse response) {
            text.tryComplete(response.message().getString("content"));
          }

          @Override
          public void onFailure(EndpointFailure failure) {
            text.tryFail(failure.toString());
          }
        };
    vertx.runOnContext(
        scheduled -> {
          try {
            ChatRequest request =
                ChatRequest.parse(Bytes.copyOf(REQUEST.getBytes(StandardCharsets.UTF_8)));
            CallId call = new CallId(new ProgramId("p" + turn), turn, 0);
            client.call(engine, call, request, new JsonArray(), "", listener);
          } catch (ProblemException e) {
            text.tryFail(e);
          }
        });
    return Await.result(text.future());
  }

  @Test
  @DisplayName("does not read a late copy of a response as the response to the next call")
  void lateCopyIsNotReadAsNextResponse() {
    for (int call = 1; call <= 3; call++) {
      assertEquals("call " + call, textOfCall(call));
    }
  }
}
