package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.vertx.core.Future;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against clients that get another response than their endpoint's under repeated ones. */
@DisplayName("While an endpoint repeats three in ten responses late")
class RepeatedResponsesTest {

  private static final long SEED = 42;
  private static final int ROUNDS = 60;
  private static final int CONCURRENT_REQUESTS = 6;
  private static final int MAX_LATE_MS = 120;
  private static final int MAX_WORK_MS = 15;
  private static final List<String> ROUTES = List.of("/safe/", "/unsafe/", "/stream/");

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  /** Responds to requests and repeats some responses; writes whole responses only. */
  private static final class Stutterer implements RawEndpoint.Script {

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final Map<NetSocket, Future<Void>> writes = new HashMap<>();
    private final Map<String, Integer> statusesByPath = new ConcurrentHashMap<>();
    private final Map<String, Integer> runsByPath = new ConcurrentHashMap<>();

    @Override
    public void respond(RawEndpoint.Call call) {
      String path = call.head().split(" ", 3)[1];
      int status = random.nextInt(8) == 0 ? 500 : 200;
      runsByPath.merge(path, 1, Integer::sum);
      statusesByPath.put(path, status);
      String body = "data: " + path + "\n\n";
      String response =
          "HTTP/1.1 %d Status\r\nX-Request-Id: %s\r\nX-Server-Seal: %s\r\n"
                  .formatted(status, call.id(), "seal of " + path)
              + "Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s"
                  .formatted(body.length(), body);
      long workMs = 1L + random.nextInt(MAX_WORK_MS);
      call.vertx().setTimer(workMs, fired -> enqueue(call, response, 0));
      if (random.nextInt(10) < 3) {
        long lateMs = workMs + 1L + random.nextInt(MAX_LATE_MS);
        int pauseMs = random.nextInt(2) * (1 + random.nextInt(5));
        call.vertx().setTimer(lateMs, fired -> enqueue(call, response, pauseMs));
      }
    }

    /** Writes the response after all earlier ones on the connection, with a pause inside. */
    private void enqueue(RawEndpoint.Call call, String response, int pauseMs) {
      Future<Void> earlier = writes.getOrDefault(call.socket(), Future.succeededFuture());
      writes.put(call.socket(), earlier.compose(done -> write(call, response, pauseMs)));
    }

    private static Future<Void> write(RawEndpoint.Call call, String response, int pauseMs) {
      int half = response.length() / 2;
      if (pauseMs == 0) {
        return call.socket().write(response);
      }
      call.write(response.substring(0, half));
      return call.vertx()
          .timer(pauseMs, TimeUnit.MILLISECONDS)
          .compose(due -> call.socket().write(response.substring(half)));
    }
  }

  private void assertEachClientGetsItsResponse(Stutterer endpoint) {
    System.out.println("seed: " + SEED);
    int requests = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Map<String, Future<Response>> sent = new HashMap<>();
      for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
        String path = ROUTES.get(requests % ROUTES.size()) + "r" + requests++;
        sent.put(path, environment.begin("POST", path));
      }
      sent.forEach((path, response) -> assertIsOwn(endpoint, path, Await.result(response)));
    }
    List<String> rerun = new ArrayList<>();
    endpoint.runsByPath.forEach(
        (path, runs) -> {
          if (runs > 1) {
            rerun.add(path);
          }
        });
    assertEquals(List.of(), rerun);
    assertEquals(requests, endpoint.runsByPath.size());
    assertTrue(environment.countSurplusResponses() > 0, "no response was repeated");
  }

  private static void assertIsOwn(Stutterer endpoint, String path, Response response) {
    assertEquals(endpoint.statusesByPath.get(path), response.status(), path);
    assertEquals("data: " + path + "\n\n", response.body());
    assertEquals("seal of " + path, response.headers().get("X-Server-Seal"));
  }

  @Test
  @DisplayName("each client gets the endpoint's response to its request, which runs once")
  void directConnections() {
    Stutterer endpoint = new Stutterer();
    environment.startScriptedEndpoint(endpoint);

    assertEachClientGetsItsResponse(endpoint);
  }

  @Test
  @DisplayName("each client of a VM behind a relay gets the endpoint's response to its request")
  void relayedConnections() throws IOException {
    VmLinks links = environment.joinSecondVmWithOwnLinks();
    Stutterer endpoint = new Stutterer();
    environment.startScriptedEndpoint(links, endpoint, false);
    links.cut(EndpointLink.Cut.RESET);
    Await.until(
        "the VM uses the relay",
        () -> environment.sendConcurrently(1, "GET", "/safe/first").get(0) == 200);
    endpoint.runsByPath.clear();

    assertEachClientGetsItsResponse(endpoint);
  }
}
