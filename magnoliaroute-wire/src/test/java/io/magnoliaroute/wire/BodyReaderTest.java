package io.magnoliaroute.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against bodies that fill the memory of their reader or never end. */
@DisplayName("A reader of response bodies")
class BodyReaderTest {

  private static final int MAX_BODY_BYTES = 100_000;
  private static final long MAX_TOTAL_BYTES = 250_000;
  private static final long WAIT_S = 10;

  private final Vertx vertx = Vertx.vertx();
  private final BodyReader reader = new BodyReader(MAX_BODY_BYTES, MAX_TOTAL_BYTES);
  private HttpClient client;
  private int port;

  // The path is the number of bytes after which the response stops; it ends only at "/whole".
  @BeforeEach
  void start() {
    client = vertx.createHttpClient();
    port =
        vertx
            .createHttpServer()
            .requestHandler(
                request -> {
                  if (request.path().equals("/whole")) {
                    request.response().end("whole body");
                    return;
                  }
                  int bytes = Integer.parseInt(request.path().substring(1));
                  request.response().setChunked(true).write(Buffer.buffer(new byte[bytes]));
                })
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join()
            .actualPort();
  }

  @AfterEach
  void stop() throws Exception {
    vertx.close().await(WAIT_S, TimeUnit.SECONDS);
  }

  private Future<Buffer> read(String path) {
    return client
        .request(HttpMethod.GET, port, "127.0.0.1", path)
        .compose(request -> request.send().compose(reader::read));
  }

  private static Throwable failure(Future<?> read) {
    return assertThrows(Exception.class, () -> read.await(WAIT_S, TimeUnit.SECONDS));
  }

  @Test
  @DisplayName("returns a whole body")
  void wholeBody() throws Exception {
    assertEquals("whole body", read("/whole").await(WAIT_S, TimeUnit.SECONDS).toString());
  }

  @Test
  @DisplayName("fails for a body that exceeds its limit")
  void oversizedBody() {
    assertInstanceOf(BodyReader.LimitExceededException.class, failure(read("/100001")));
  }

  @Test
  @DisplayName("fails for one of several bodies that exceed the limit together, and reads on after")
  void oversizedTotal() throws Exception {
    List<Future<Buffer>> reads = IntStream.range(0, 3).mapToObj(each -> read("/90000")).toList();

    assertInstanceOf(BodyReader.LimitExceededException.class, failure(Future.all(reads)));
    assertEquals(2, reads.stream().filter(each -> !each.isComplete()).count());
    assertEquals("whole body", read("/whole").await(WAIT_S, TimeUnit.SECONDS).toString());
  }

  @Test
  @DisplayName("fails for a body that does not end in time")
  void lateBody() {
    Future<Buffer> late =
        client
            .request(HttpMethod.GET, port, "127.0.0.1", "/10")
            .compose(request -> request.send().compose(response -> reader.read(response, 100)));

    assertTrue(failure(late) instanceof TimeoutException);
  }
}
