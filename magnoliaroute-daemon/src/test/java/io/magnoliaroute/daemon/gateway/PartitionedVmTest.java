package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.daemon.gateway.EndpointLink.Cut;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.daemon.support.KnownRed;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against VMs that refuse their clients while only other VMs reach the endpoints. */
@DisplayName("A VM that is partitioned from all endpoints")
class PartitionedVmTest {

  /** Time until the clients of a partitioned VM must be served like those of other VMs. */
  private static final long CONTACT_MS = 3_000;

  /** Time after which a VM has closed its idle connections to endpoints. */
  private static final long IDLE_MS = 5_000;

  private static final int REQUESTS = 20;

  private GatewayTestEnvironment environment;
  private VmLinks links;

  @BeforeEach
  void start() throws IOException {
    environment = new GatewayTestEnvironment();
    links = environment.joinSecondVmWithOwnLinks();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private void assertServedDuring(Cut cut) throws IOException {
    links.cut(cut);
    assertServed();
  }

  private void assertServed() {
    Await.within(
        CONTACT_MS,
        "a request is served",
        () -> environment.call("GET", "/safe/x", Map.of("X-Deadline-Ms", "1000")).status() == 200);
    List<Integer> allServed = Collections.nCopies(REQUESTS, 200);
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "GET", "/safe/x"));
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "POST", "/unsafe/x"));
    assertEquals(allServed, environment.sendConcurrently(REQUESTS, "POST", "/stream/x"));
    assertEachRequestExecutedOnce();
  }

  private void assertEachRequestExecutedOnce() {
    environment
        .executedRequests()
        .forEach(
            id ->
                assertEquals(
                    1, Collections.frequency(environment.executedRequests(), id), "request " + id));
  }

  @Test
  @KnownRed
  @DisplayName("serves its clients through another VM while its connections hang")
  void clientsAreServedWhileConnectionsHang() throws IOException {
    assertServedDuring(Cut.SILENT);
  }

  @Test
  @KnownRed
  @DisplayName("serves its clients through another VM after its connections were reset")
  void clientsAreServedAfterConnectionsWereReset() throws IOException {
    assertServedDuring(Cut.RESET);
  }

  @Test
  @KnownRed
  @DisplayName("serves its clients through another VM while new connections are refused")
  void clientsAreServedWhileNewConnectionsAreRefused() throws IOException {
    links.cut(Cut.REFUSES_NEW);
    Await.within(
        IDLE_MS, "the VM has closed its idle connections", () -> links.openConnections() == 0);
    assertServed();
  }
}
