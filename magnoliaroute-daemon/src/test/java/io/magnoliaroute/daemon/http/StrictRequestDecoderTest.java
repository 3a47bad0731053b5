package io.magnoliaroute.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.RawClient;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against requests that are hidden in the body of others (request smuggling). */
@DisplayName("A server with the strict decoder")
class StrictRequestDecoderTest {

  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String HIDDEN = RawClient.head("GET /hidden HTTP/1.1", "Host: h");

  private final Vertx vertx = Vertx.vertx();
  private final List<String> handled = new CopyOnWriteArrayList<>();
  private int port;

  @BeforeEach
  void start() {
    HttpServerOptions options = StrictRequestDecoder.options();
    HttpServer server =
        vertx
            .createHttpServer(options)
            .connectionHandler(connection -> StrictRequestDecoder.install(connection, options))
            .requestHandler(this::handle);
    port = Await.result(server.listen(0, "127.0.0.1")).actualPort();
  }

  private void handle(HttpServerRequest request) {
    request
        .body()
        .onSuccess(
            body -> {
              handled.add(request.path());
              request.response().end();
            });
  }

  @AfterEach
  void stop() {
    Await.result(vertx.close());
  }

  static List<String> ambiguousFields() {
    String all = "Content-Length: " + (LAST_CHUNK.length() + HIDDEN.length());
    String chunked = "Transfer-Encoding: chunked";
    return List.of(
        all + "\r\n" + chunked,
        chunked + "\r\n" + all,
        "Content-Length: 5\r\n" + chunked,
        "Content-Length: 5\r\n" + all,
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5, 5",
        "Content-Length: 5\r\n 0",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 0x5",
        "Content-Length: 5;a",
        "Content-Length : 5\r\n" + chunked,
        chunked + "\r\n" + chunked,
        chunked + "\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: identity\r\n" + chunked,
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked;a=b",
        "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding:\r\n chunked",
        "Transfer-Encoding: \u000bchunked",
        "Transfer-Encoding: chunked\u0000",
        "Transfer-Encoding: chunked\r",
        "X-Field: a\nTransfer-Encoding: chunked",
        "X-Field: a\rTransfer-Encoding: chunked");
  }

  @ParameterizedTest
  @MethodSource("ambiguousFields")
  @DisplayName("reads nothing behind a request whose length is ambiguous")
  void nothingIsReadBehindAmbiguousRequest(String fields) throws IOException {
    String request = RawClient.head("POST /outer HTTP/1.1", "Host: h", fields);

    assertRejected(exchange(request + LAST_CHUNK + HIDDEN));
  }

  @Test
  @DisplayName("rejects a transfer coding of a version that has none")
  void transferCodingOfOldVersion() throws IOException {
    String request =
        RawClient.head("POST /outer HTTP/1.0", "Host: h", "Transfer-Encoding: chunked");

    assertRejected(exchange(request + LAST_CHUNK + HIDDEN));
  }

  @ParameterizedTest
  @MethodSource("malformedChunks")
  @DisplayName("reads nothing behind a malformed chunk")
  void nothingIsReadBehindMalformedChunk(String chunks) throws IOException {
    String request =
        RawClient.head("POST /outer HTTP/1.1", "Host: h", "Transfer-Encoding: chunked");

    assertRejected(exchange(request + chunks + HIDDEN));
  }

  static List<String> malformedChunks() {
    return List.of(
        "+0\r\n\r\n",
        "-1\r\n\r\n",
        "0x0\r\n\r\n",
        "\r\n\r\n",
        "5\r\nabcdefg\r\n0\r\n\r\n",
        "100000000\r\n0\r\n\r\n",
        "100000005\r\nabcde\r\n0\r\n\r\n",
        " 5\r\nabcde\r\n0\r\n\r\n",
        "ffffffffffffffff\r\n0\r\n\r\n",
        "0\n\n",
        "0\r\nContent-Length 5\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("clearRequests")
  @DisplayName("reads the next request of the connection behind one of clear length")
  void nextRequestIsRead(String request) throws IOException {
    String responses = exchange(request + HIDDEN);

    assertEquals(List.of("/outer", "/hidden"), handled, responses);
  }

  static List<String> clearRequests() {
    return List.of(
        RawClient.head("GET /outer HTTP/1.1", "Host: h"),
        RawClient.head("POST /outer HTTP/1.1", "Host: h", "Content-Length: 5") + "abcde",
        RawClient.head("POST /outer HTTP/1.1", "Host: h", "Transfer-Encoding: Chunked")
            + "5;a=b\r\nabcde\r\n0\r\nTrailer: a\r\nContent-Length: 50\r\n\r\n",
        RawClient.head("POST /outer HTTP/1.1", "Host: h", "Transfer-Encoding: chunked")
            + "0012c\r\n"
            + "x".repeat(300)
            + "\r\n1\r\nf\r\n0\r\nffffffff: trailer\r\n\r\n");
  }

  @Test
  @DisplayName("reads a chunked body that arrives byte by byte")
  void bodyOfSingleBytesIsRead() throws IOException {
    String request =
        RawClient.head("POST /outer HTTP/1.1", "Host: h", "Transfer-Encoding: chunked")
            + "a\r\n0123456789\r\n3;a=ffffffffff\r\nabc\r\n0\r\n\r\n"
            + HIDDEN;
    try (RawClient client = new RawClient(port)) {
      for (int i = 0; i < request.length(); i++) {
        client.write(request.substring(i, i + 1));
      }
      client.endOutput();
      client.readUntilClosed();
    }

    assertEquals(List.of("/outer", "/hidden"), handled);
  }

  private String exchange(String bytes) throws IOException {
    try (RawClient client = new RawClient(port)) {
      client.write(bytes);
      client.endOutput();
      return client.readUntilClosed();
    }
  }

  private void assertRejected(String response) {
    assertEquals(List.of(), handled, response);
    assertFalse(response.contains("200 OK"), response);
  }
}
