package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.RawClient;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that run a request which its client hid in the body of another one. */
@DisplayName("Behind a request that a VM rejects before its end, the VM")
class AmbiguousRequestTest {

  private static final String LAST_CHUNK = "0\r\n\r\n";

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private static String payment(String requestId, String... fields) {
    String own =
        String.join("\r\n", "POST /unsafe/x HTTP/1.1", "Host: h", "X-Request-Id: " + requestId);
    return RawClient.head(own, String.join("\r\n", fields));
  }

  private static String hiddenPayment() {
    return payment("hidden", "Content-Length: 0");
  }

  private String exchange(int port, String bytes) throws IOException {
    try (RawClient client = new RawClient(port)) {
      client.write(bytes);
      return client.readUntilClosed();
    }
  }

  private void assertOnlyRejected(int status, String responses) {
    assertTrue(responses.startsWith("HTTP/1.1 " + status), responses);
    assertEquals(responses.indexOf("HTTP/1.1"), responses.lastIndexOf("HTTP/1.1"), responses);
    assertTrue(responses.toLowerCase(java.util.Locale.ROOT).contains("connection: close"));
    assertEquals(List.of(), environment.executedRequests());
  }

  @Test
  @DisplayName("runs no request that a length together with a transfer coding hides")
  void requestHiddenByLengthAndCodingIsNotRun() throws IOException {
    int hiddenBytes = LAST_CHUNK.length() + hiddenPayment().length();
    String outer = payment("outer", "Content-Length: " + hiddenBytes, "Transfer-Encoding: chunked");

    assertOnlyRejected(
        400, exchange(environment.vm().clientPort(), outer + LAST_CHUNK + hiddenPayment()));
  }

  @Test
  @DisplayName("runs no request that two transfer codings hide")
  void requestHiddenByTwoCodingsIsNotRun() throws IOException {
    String outer = payment("outer", "Transfer-Encoding: chunked", "Transfer-Encoding: identity");

    assertOnlyRejected(
        400, exchange(environment.vm().clientPort(), outer + LAST_CHUNK + hiddenPayment()));
  }

  @Test
  @DisplayName("runs no request that follows a body which is too large")
  void requestBehindTooLargeBodyIsNotRun() throws IOException {
    int limit = 4_194_304;
    String outer = payment("outer", "Content-Length: " + (limit + 2));

    assertOnlyRejected(
        413,
        exchange(environment.vm().clientPort(), outer + "x".repeat(limit + 2) + hiddenPayment()));
  }

  @Test
  @DisplayName("answers the requests that came before, each with its own response")
  void earlierRequestsAreAnswered() throws IOException {
    String first = payment("first", "Content-Length: 0");
    String outer = payment("outer", "Transfer-Encoding: chunked", "Transfer-Encoding: identity");

    String responses =
        exchange(environment.vm().clientPort(), first + outer + LAST_CHUNK + hiddenPayment());

    assertTrue(responses.startsWith("HTTP/1.1 200"), responses);
    assertTrue(responses.indexOf("HTTP/1.1 400") > 0, responses);
    assertEquals(List.of("first"), environment.executedRequests());
  }

  @Test
  @DisplayName("answers no request that the readiness server finds hidden")
  void readinessServerRejectsAmbiguousRequest() throws IOException {
    String hidden = RawClient.head("GET /metrics HTTP/1.1", "Host: h");
    String outer =
        RawClient.head(
            "GET /-/ready HTTP/1.1",
            "Host: h",
            "Content-Length: " + (LAST_CHUNK.length() + hidden.length()),
            "Transfer-Encoding: chunked");

    String responses = exchange(environment.vm().readyPort(), outer + LAST_CHUNK + hidden);

    assertTrue(responses.startsWith("HTTP/1.1 400"), responses);
    assertFalse(responses.contains("200 OK"), responses);
  }

  @Test
  @DisplayName("answers a request that offers an upgrade to HTTP/2 over HTTP/1.1")
  void upgradeIsNotTaken() throws IOException {
    String request =
        RawClient.head(
            "GET /safe/x HTTP/1.1",
            "Host: h",
            "X-Request-Id: a",
            "Connection: Upgrade, HTTP2-Settings",
            "Upgrade: h2c",
            "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA");

    try (RawClient client = new RawClient(environment.vm().clientPort())) {
      client.write(request);
      String head = client.readHead();
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
    }
  }
}
