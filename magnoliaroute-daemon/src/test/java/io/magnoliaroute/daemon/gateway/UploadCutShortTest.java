package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.RawClient;
import io.netty.channel.socket.SocketChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a part of a response that reaches the client as a complete one: the endpoint ends
 * its connection while it has not read the request.
 */
@DisplayName("When an endpoint responds to an upload without a length and breaks off")
class UploadCutShortTest {

  /** Less than the buffer of a socket grows to, unless it is limited. */
  private static final int BODY_BYTES = 3_000_000;

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private String send(String path) throws IOException {
    try (RawClient client = new RawClient(environment.vm().clientPort())) {
      client.write(
          RawClient.head(
              "POST " + path + " HTTP/1.1",
              "Host: h",
              "X-Request-Id: upload",
              "Content-Length: " + BODY_BYTES));
      client.write("b".repeat(BODY_BYTES));
      return client.readResponse();
    }
  }

  private static void respond(RawEndpoint.Call call, long delayMs, boolean halfCloses) {
    call.socket().pause();
    call.vertx()
        .setTimer(
            Math.max(1, delayMs),
            fired ->
                call.socket()
                    .write(call.head("Connection: close") + "sixteen bytes...")
                    .onSuccess(
                        written -> {
                          if (halfCloses) {
                            SocketChannel channel =
                                (SocketChannel)
                                    ((NetSocketInternal) call.socket())
                                        .channelHandlerContext()
                                        .channel();
                            channel.shutdownOutput().addListener(done -> {});
                          }
                          call.vertx().setTimer(20, later -> call.socket().close());
                        }));
  }

  @ParameterizedTest
  @CsvSource({
    "/unsafe/x, 0, true",
    "/unsafe/x, 300, true",
    "/safe/x, 2, true",
    "/unsafe/x, 0, false",
    "/plainstream/x, 0, true",
    "/plainstream/x, 300, false"
  })
  @DisplayName("before it has read the upload, the client learns that the response is not whole")
  void isNotComplete(String path, long delayMs, boolean halfCloses) throws IOException {
    environment.startScriptedEndpoint(call -> respond(call, delayMs, halfCloses), true);

    String response = send(path);

    assertTrue(response.startsWith("HTTP/1.1 502 "), response);
  }
}
