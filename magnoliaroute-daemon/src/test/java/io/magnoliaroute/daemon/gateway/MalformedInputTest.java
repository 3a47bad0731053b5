package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.standin.users.StandinEndpoint;
import io.magnoliaroute.wire.PeerMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against a single malformed message or record that makes a VM stop serving. */
@DisplayName("On malformed input, a VM")
class MalformedInputTest {

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  @Test
  @DisplayName("closes the connection of a peer that sends an invalid name, and continues to serve")
  void malformedPeerMessage() {
    assertTrue(environment.peer().isClosedAfter(new PeerMessage.EndpointUnreachable(null)));
    assertTrue(environment.peer().isClosedAfter(new PeerMessage.OutcomeReport("", List.of())));

    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
  }

  @Test
  @DisplayName("continues to follow the store after a record that cannot be decoded")
  void malformedStoreRecord() {
    environment.store().put("keyed.servers", "", "{}");
    environment.store().put("keyed.servers", "bad", "[1");
    environment.store().put("keyed.servers", "nested", "[".repeat(100_000));
    environment
        .store()
        .put("keyed.servers", "port", StandinEndpoint.entryAt(65_536, "s", "ready", 1));
    environment.store().put("keyed.servers", "e1", "{\"seq\":" + "9".repeat(2_000) + "}");
    environment.startThirdEndpoint();

    assertEquals(200, environment.call("GET", "/safe/x", Map.of()).status());
  }
}
