package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

  private GatewayWorld world;

  @BeforeEach
  void start() {
    world = new GatewayWorld();
  }

  @AfterEach
  void stop() throws IOException {
    world.close();
  }

  @Test
  @DisplayName("closes the connection of a peer that sends an invalid name, and continues to serve")
  void peerMessage() {
    assertTrue(world.closesPeerThatSends(new PeerMessage.EndpointLost(null)));
    assertTrue(world.closesPeerThatSends(new PeerMessage.OutcomesTold("", List.of())));

    assertEquals(200, world.call("GET", "/safe/x", Map.of()).status());
  }

  @Test
  @DisplayName("continues to follow the store after a record that cannot be decoded")
  void record() {
    world.store().put("keyed.servers", "", "{}");
    world.store().put("keyed.servers", "bad", "[1");
    world.startThird();

    assertEquals(200, world.call("GET", "/safe/x", Map.of()).status());
  }
}
