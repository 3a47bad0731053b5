package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.gateway.GatewayTestEnvironment.Response;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.standin.users.StandinEndpoint.Behaviour;
import io.magnoliaroute.standin.users.StandinStore;
import io.vertx.core.Future;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends requests through a VM to stand-ins for the platform's store and endpoints. */
@DisplayName("A VM on the platform")
class GatewayTest {

  private static final String EVENTS_3 = events(1, 3);
  private static final String ALL_EVENTS = events(1, StandinEndpoint.EVENTS_PER_STREAM);

  private GatewayTestEnvironment environment;

  private static String events(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int i = from; i <= to; i++) {
      text.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
    }
    return text.toString();
  }

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  @Nested
  @DisplayName("handling requests")
  class Calls {

    @Test
    @DisplayName("returns the endpoint's response with its signature")
    void passesResponseOn() {
      Response response = environment.call("GET", "/safe/x", Map.of());

      assertEquals(200, response.status());
      assertTrue(
          response.headers().get("X-Server-Seal").startsWith("seal-"), "unexpected signature");
      assertEquals("1", response.headers().get("X-Request-Id"));
    }

    @Test
    @DisplayName("responds with 404 if no route matches")
    void noRoute() {
      assertEquals(404, environment.call("GET", "/none/x", Map.of()).status());
    }

    @Test
    @DisplayName("responds with 400 to a malformed header field and names the field")
    void malformed() {
      Response response = environment.call("GET", "/safe/x", Map.of("X-Deadline-Ms", "soon"));

      assertEquals(400, response.status());
      assertTrue(response.body().contains("X-Deadline-Ms must be a number, was: 'soon'"));
    }

    @Test
    @DisplayName("forwards a deadline that is no longer than the client's")
    void deadline() {
      environment.call("GET", "/safe/x", Map.of("X-Deadline-Ms", "700"));

      long passed = Long.parseLong(environment.receivedDeadlines().get(0));
      assertTrue(passed <= 700 && passed > 0, "deadline was " + passed);
    }

    @Test
    @DisplayName("drops header fields that only the platform may set")
    void systemFields() {
      assertEquals(
          200, environment.call("GET", "/safe/x", Map.of("X-Target-Instance", "forged")).status());
    }

    @Test
    @DisplayName(
        "sends a non-idempotent request once and responds with 502 if its response is lost")
    void actionOnce() {
      environment.setNextBehaviour(Behaviour.ANSWER_LOST);

      assertEquals(502, environment.call("POST", "/unsafe/x", Map.of()).status());
      assertEquals(1, environment.executedRequests().size());
    }

    @Test
    @DisplayName("retries a refused non-idempotent request at the other endpoint if it has not run")
    void actionRefused() {
      environment.firstEndpoint().addBehaviour(Behaviour.FULL);
      environment.secondEndpoint().addBehaviour(Behaviour.FULL);

      assertEquals(200, environment.call("POST", "/unsafe/x", Map.of()).status());
      assertEquals(1, environment.executedRequests().size());
    }

    @Test
    @DisplayName("continues to serve after an endpoint has closed more connections than its limit")
    void closedConnectionsFreeTheirPlaces() {
      environment.drainFirstEndpoint();
      for (int i = 0; i < StandinConfiguration.MAX_CONNECTIONS; i++) {
        environment.secondEndpoint().addBehaviour(Behaviour.ANSWER_LOST);
        assertEquals(502, environment.call("POST", "/unsafe/x", Map.of()).status());
      }

      assertEquals(200, environment.call("POST", "/unsafe/x", Map.of()).status());
    }

    @Test
    @DisplayName("retries an idempotent request whose response is lost")
    void retriesIdempotentCall() {
      environment.setNextBehaviour(Behaviour.ANSWER_LOST);

      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    }

    @Test
    @DisplayName("retries an idempotent request on a new connection if the first one stays silent")
    void silentConnection() {
      environment.setNextBehaviour(Behaviour.HANGS);

      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
      assertEquals(2, environment.executedRequests().size());
    }

    @Test
    @DisplayName("closes the connection to the endpoint if the client disconnects")
    void clientDisconnects() {
      environment.setNextBehaviour(Behaviour.HANGS);
      environment.disconnectDuring("GET", "/safe/x");

      Await.until(
          "the connection to the endpoint is closed",
          () ->
              environment.firstEndpoint().abortedRequests()
                      + environment.secondEndpoint().abortedRequests()
                  == 1);
    }

    @Test
    @DisplayName("never returns a response that has the id of another request")
    void responseToOtherRequest() {
      environment.setNextBehaviour(Behaviour.FOREIGN_ID);

      assertEquals(502, environment.call("POST", "/unsafe/x", Map.of()).status());
    }

    @Test
    @DisplayName("never returns a successful response without a signature")
    void unsigned() {
      environment.setNextBehaviour(Behaviour.UNSIGNED);

      assertEquals(502, environment.call("POST", "/unsafe/x", Map.of()).status());
    }

    @Test
    @DisplayName("forwards an endpoint's failure response unchanged")
    void ownFailure() {
      environment.setNextBehaviour(Behaviour.FAILS);

      Response response = environment.call("POST", "/unsafe/x", Map.of());

      assertEquals(500, response.status());
      assertEquals("failed", response.body());
    }

    @Test
    @DisplayName("responds with 504 at the route's timeout if the request may have run")
    void timeout() {
      environment.setNextBehaviour(Behaviour.HANGS);

      assertEquals(504, environment.call("GET", "/brief/x", Map.of()).status());
    }

    @Test
    @DisplayName("responds with 503 and Retry-After if no endpoint is available")
    void noEndpoint() {
      environment.removeEndpoints();

      Response response = environment.call("GET", "/brief/x", Map.of());

      assertEquals(503, response.status());
      assertTrue(
          Double.parseDouble(response.headers().get("Retry-After")) > 0,
          "Retry-After must be positive");
    }

    @Test
    @DisplayName("refuses a request immediately after no endpoint has accepted a connection")
    void allEndpointsUnreachable() throws IOException {
      environment.listUnreachableEndpoints(3);
      assertEquals(503, environment.call("GET", "/safe/x", Map.of()).status());
      long startedNanos = System.nanoTime();

      Response response = environment.call("GET", "/safe/y", Map.of());

      long elapsedMs = (System.nanoTime() - startedNanos) / 1_000_000;
      assertEquals(503, response.status());
      // The endpoints are probed in parallel, within the timeout of one connection attempt.
      assertTrue(
          elapsedMs < 2 * EndpointConnectionPool.CONNECT_TIMEOUT_MS,
          "refused after " + elapsedMs + " ms");
    }

    @Test
    @DisplayName("serves requests again once an endpoint accepts connections")
    void endpointReachableAgain() {
      environment.crashBothEndpoints();
      assertEquals(503, environment.call("GET", "/safe/x", Map.of()).status());
      Await.result(environment.firstEndpoint().restart());

      Await.within(
          2_000,
          "a request is served",
          () -> environment.call("GET", "/safe/y", Map.of()).status() == 200);
    }

    @Test
    @DisplayName("sends no requests to a draining endpoint")
    void draining() {
      environment.drainFirstEndpoint();

      for (int i = 0; i < 20; i++) {
        environment.call("GET", "/safe/x", Map.of());
      }
      assertEquals(List.of(), environment.firstEndpoint().executedRequestIds());
    }
  }

  @Nested
  @DisplayName("handling streams")
  class Streams {

    @Test
    @DisplayName("forwards all events")
    void whole() {
      assertEquals(ALL_EVENTS, environment.call("POST", "/stream/x", Map.of()).body());
    }

    @Test
    @DisplayName("resumes a stream after its last complete event if the endpoint fails mid-event")
    void resumes() {
      environment.setNextBehaviour(Behaviour.BREAKS_MID_EVENT);

      assertEquals(ALL_EVENTS, environment.call("POST", "/stream/x", Map.of()).body());
    }

    @Test
    @DisplayName("does not present a truncated stream as complete if it cannot be resumed")
    void brokenStream() {
      environment.setNextBehaviour(Behaviour.BREAKS_MID_EVENT);

      AssertionError error =
          assertThrows(
              AssertionError.class, () -> environment.call("POST", "/plainstream/x", Map.of()));
      assertFalse(error.getMessage().contains(EVENTS_3 + EVENTS_3));
    }

    @Test
    @DisplayName("responds with 402 if the program's budget does not cover another turn")
    void budget() {
      int served = 0;
      Response response = environment.sendTurn("p1", 300, 100);
      while (response.status() == 200 && served < 50) {
        served++;
        response = environment.sendTurn("p1", 300, 100);
      }

      // Each turn delivers 6 events of 10 tokens.
      assertEquals(402, response.status());
      assertEquals(4, served);
    }

    @Test
    @DisplayName("still enforces an exhausted budget after a restart of all VMs")
    void budgetOverRestart() {
      while (environment.sendTurn("p1", 300, 100).status() == 200) {
        // Runs turns until the budget is exhausted.
      }
      environment.restartVm();
      Await.until("the VM is ready", () -> environment.readyStatus() == 200);

      assertEquals(402, environment.sendTurn("p1", 300, 100).status());
    }
  }

  @Nested
  @DisplayName("that holds the entire budgets of programs as slices")
  class SliceHolder {

    private static final int PROGRAMS = 8;

    @BeforeEach
    void takeSlices() {
      // A slice covers three turns, which is the entire budget; a turn uses a part of its tokens.
      for (int i = 0; i < PROGRAMS; i++) {
        assertEquals(200, environment.sendTurn("p" + i, 300, 100).status());
      }
    }

    @Test
    @DisplayName("still grants turns from its slices after another VM has taken over the programs")
    void replaced() {
      environment.joinSecondVm("dc");

      assertEquals(
          Collections.nCopies(PROGRAMS, 200), environment.sendTurnsToSecondVm(PROGRAMS, 300, 100));
    }

    @Test
    @DisplayName("has returned its slices once stopped, even if another VM had loaded the records")
    void stopped() {
      environment.joinSecondVm("dc");
      awaitPartitionsLoaded();
      Await.result(environment.beginVmStop());

      assertEquals(
          Collections.nCopies(PROGRAMS, 200), environment.sendTurnsToSecondVm(PROGRAMS, 300, 100));
    }

    @Test
    @DisplayName("still grants turns from its slices during a graceful shutdown")
    void stops() {
      environment.joinSecondVm("dc");
      awaitPartitionsLoaded();
      environment.beginVmStop();
      Await.until("the VM has deregistered", () -> environment.secondVm().knownVms() == 1);

      assertEquals(
          Collections.nCopies(PROGRAMS, 200), environment.sendTurnsToSecondVm(PROGRAMS, 300, 100));
    }

    @Test
    @DisplayName("grants turns from its slices during a graceful shutdown without the store")
    void stopsWithoutStore() {
      environment.joinSecondVm("dc");
      awaitPartitionsLoaded();
      environment.store().setFault(StandinStore.Fault.SILENT);
      environment.beginVmStop();

      assertEquals(
          Collections.nCopies(PROGRAMS, 200), environment.sendTurnsToSecondVm(PROGRAMS, 300, 100));
    }
  }

  private void awaitPartitionsLoaded() {
    Await.until(
        "the records are loaded",
        () ->
            environment.loadedPartitionsAtFirstVm() == 2
                && environment.loadedPartitionsAtSecondVm() == 2);
  }

  @Nested
  @DisplayName("while the store is unavailable")
  class StoreUnavailable {

    @Test
    @DisplayName("continues to serve requests and turns of new programs")
    void servesCallsAndTurns() {
      environment.store().setFault(StandinStore.Fault.SILENT);

      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
      assertEquals(200, environment.sendTurn("new", 3_000, 100).status());
      assertEquals(200, environment.sendTurn("new", 3_000, 100).status());
    }

    @Test
    @DisplayName("responds with 503 after a start until it has a configuration")
    void startsWithoutStore() {
      environment.store().setFault(StandinStore.Fault.DOWN);
      environment.restartVm();

      assertEquals(503, environment.call("GET", "/safe/x", Map.of()).status());
      assertEquals(503, environment.readyStatus());

      environment.store().setFault(StandinStore.Fault.NONE);
      Await.until("the VM is ready", () -> environment.readyStatus() == 200);
      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    }

    @Test
    @DisplayName("refuses a program that had exhausted its budget before this VM started")
    void spentBeforeStart() {
      while (environment.sendTurn("p1", 300, 100).status() == 200) {
        // Runs turns until the budget is exhausted.
      }
      environment.restartVm();
      Await.until("the records are loaded", () -> environment.loadedPartitionsAtFirstVm() == 2);
      environment.store().setFault(StandinStore.Fault.SILENT);

      assertEquals(402, environment.sendTurn("p1", 300, 100).status());
    }

    @Test
    @DisplayName("limits a program that sends many turns concurrently to its budget")
    void manyTurnsAtOnce() {
      environment.joinSecondVm("dc2");
      environment.store().setFault(StandinStore.Fault.SILENT);

      int served = environment.countServedTurns(20, "p1", 300, 100);

      // A VM that considers its peer lost decides on its own; each such loss allows one more turn.
      int servedLimit = 1 + environment.countLostPeers();
      assertTrue(
          served >= 1 && served <= servedLimit, served + " turns served, limit " + servedLimit);
      assertTrue(100 * served <= 300 + 100, served + " turns of 100 tokens served, budget 300");
    }

    @Test
    @DisplayName("accounts for the turns that a peer granted without the store before it crashed")
    void neighbourCrashed() {
      environment.joinSecondVm("dc");
      awaitPartitionsLoaded();
      environment.store().setFault(StandinStore.Fault.SILENT);
      assertEquals(Collections.nCopies(8, 200), environment.sendTurnsToSecondVm(8, 100, 100));

      environment.killVm();

      assertFalse(
          environment.sendTurnsToSecondVm(8, 100, 100).contains(200),
          "a second turn of a program was served");
    }

    @Test
    @DisplayName("grants turns in place of a peer that is shutting down")
    void neighbourStops() {
      environment.joinSecondVm("dc");
      awaitPartitionsLoaded();
      environment.store().setFault(StandinStore.Fault.SILENT);
      assertEquals(Collections.nCopies(8, 200), environment.sendTurnsToSecondVm(8, 1_000, 100));

      environment.beginVmStop();

      assertEquals(Collections.nCopies(8, 200), environment.sendTurnsToSecondVm(8, 1_000, 100));
    }

    @Test
    @DisplayName("grants turns again after the store has dropped records that it has not read")
    void continuesAfterUnreadRecordsAreDropped() {
      Await.until("the records are loaded", () -> environment.loadedPartitionsAtFirstVm() == 2);
      environment.store().put("keyed.allowances", "other", "malformed");
      environment.store().dropHistory("keyed.allowances", 0);

      for (int program = 0; program < 8; program++) {
        String id = "p" + program;
        Await.until("granted", () -> environment.sendTurn(id, 300, 100).status() == 200);
      }
    }

    @Test
    @DisplayName("records a turn for a peer that cannot reach the store")
    void recordsForPeer() {
      Await.until("the records are loaded", () -> environment.loadedPartitionsAtFirstVm() == 2);
      for (int turn = 0; turn < 3; turn++) {
        assertEquals(TokenBudgets.Verdict.GRANTED, environment.reserveFromMemory("p1", 300, 100));
      }
      environment.restartVm();
      Await.until("the VM is ready", () -> environment.readyStatus() == 200);

      assertEquals(402, environment.sendTurn("p1", 300, 100).status());
    }

    @Test
    @DisplayName(
        "applies a newer configuration within two seconds though the store refuses requests")
    void configurationFromPeer() {
      environment.startSecondVmWithoutStore();
      Await.until("the second VM is ready", () -> environment.secondReadyStatus() == 200);

      environment.publishConfiguration(5, "/moved/");

      Await.within(
          2_000,
          "the configuration is active",
          () -> environment.callSecondVm("/moved/x").status() == 200);
    }

    @Test
    @DisplayName("obtains its configuration from a peer")
    void learnsFromPeer() {
      environment.store().setFault(StandinStore.Fault.DOWN);
      environment.startSecondVm();

      Await.until("the second VM is ready", () -> environment.secondReadyStatus() == 200);
    }
  }

  @Nested
  @DisplayName("whose peer has observed a request that crashed three endpoints")
  class RequestQuarantinedByPeer {

    @Test
    @DisplayName("refuses that request without sending it to an endpoint, and serves others")
    void refuses() {
      quarantinesRequest(Behaviour.CRASHES);
    }

    @Test
    @DisplayName("refuses it also if the crashed endpoints still accepted a reconnect")
    void slowCrashesAreRecognized() {
      quarantinesRequest(Behaviour.CRASHES_SLOWLY);
    }

    private void quarantinesRequest(Behaviour crash) {
      environment.joinSecondVm("dc2");
      environment.startThirdAndCrashAllOnNextRequest(crash);
      environment.call("GET", "/safe/poison", Map.of());
      assertEquals(3, environment.executedRequests().size());
      environment.restartFirstEndpoint();
      Await.until(
          "the second VM serves requests again",
          () -> environment.callSecondVm("/safe/sound").status() == 200);
      int executedBefore = environment.executedRequests().size();

      assertEquals(503, environment.callSecondVm("/safe/poison").status());
      assertEquals(503, environment.call("GET", "/safe/poison", Map.of()).status());
      assertEquals(executedBefore, environment.executedRequests().size());
    }
  }

  @Nested
  @DisplayName("during a graceful shutdown")
  class Stopping {

    @Test
    @DisplayName("accepts no request that it would cut off while it releases its budgets")
    void requestDuringReleaseOfBudgetsIsNotCut() {
      assertEquals(200, environment.sendTurn("p1", 300, 100).status());
      environment.store().setFault(StandinStore.Fault.SILENT);

      Future<Void> stopped = environment.beginVmStop();
      Future<?> response = environment.sendUnansweredAfter(2_450, 500);
      Await.result(stopped);

      assertTrue(response.isComplete(), "stopped with a request in progress");
    }

    @Test
    @DisplayName("becomes unready immediately and still serves requests that arrive")
    void notReady() {
      environment.beginVmStop();

      Await.until("the VM is not ready", () -> environment.readyStatus() == 503);
      assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
    }
  }

  @Test
  @DisplayName("applies a newer configuration and never an older one")
  void configuration() {
    environment.publishConfiguration(5, "/moved/");
    Await.until(
        "the configuration is active",
        () -> environment.call("GET", "/moved/x", Map.of()).status() == 200);

    environment.publishConfiguration(4, "/old/");
    environment.publishConfiguration(6, "/newest/");
    Await.until(
        "the configuration is active",
        () -> environment.call("GET", "/newest/x", Map.of()).status() == 200);

    assertEquals(404, environment.call("GET", "/old/x", Map.of()).status());
  }
}
