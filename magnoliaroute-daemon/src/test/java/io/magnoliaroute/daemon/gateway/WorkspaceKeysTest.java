package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.workspace.BearerKeyHash;
import io.magnoliaroute.daemon.support.Await;
import io.magnoliaroute.standin.users.StandinConfiguration;
import io.magnoliaroute.standin.users.StandinStore;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.MultiMap;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that run without a key or with a withdrawn one, and against keys that
 * reach endpoints or other VMs.
 */
@DisplayName("With workspaces, a VM")
class WorkspaceKeysTest {

  private static final String FIRST = "{\"name\":\"w1\",\"api_keys\":[\"first-key\"]}";
  private static final String SECOND = "{\"name\":\"w2\",\"api_keys\":[\"second-key\"]}";

  private GatewayTestEnvironment environment;

  @BeforeEach
  void start() {
    environment = new GatewayTestEnvironment();
    publish(4, FIRST, SECOND);
    Await.until("keys are required", () -> statusWithKey("no-key") == 401);
  }

  @AfterEach
  void stop() throws IOException {
    environment.close();
  }

  private void publish(long version, String... workspaces) {
    environment
        .store()
        .put("keyed.op", "config", StandinConfiguration.jsonWithWorkspaces(version, workspaces));
  }

  private int statusWithKey(String key) {
    return environment.call("GET", "/safe/x", Map.of("Authorization", "Bearer " + key)).status();
  }

  @Test
  @DisplayName("names the workspace to the endpoint, and neither the key nor what the client names")
  void endpointsGetTheWorkspace() {
    int status =
        environment
            .call(
                "GET",
                "/safe/x",
                Map.of(
                    "X-Request-Id",
                    "named",
                    "Authorization",
                    "Bearer second-key",
                    "X-Tenant",
                    "w1"))
            .status();
    assertEquals(200, status);
    List<MultiMap> received = new ArrayList<>();
    received.add(environment.firstEndpoint().lastHeaders());
    received.add(environment.secondEndpoint().lastHeaders());
    received.removeIf(headers -> !"named".equals(headers.get("X-Request-Id")));
    assertEquals(1, received.size());
    assertEquals(List.of("w2"), received.get(0).getAll("X-Tenant"));
    assertFalse(received.get(0).contains("Authorization"));
  }

  @Test
  @DisplayName("runs no request without a key, except on public routes")
  void keysAreRequired() {
    // Requests that were sent before the keys were required have run.
    List<String> executedBefore = environment.executedRequests();
    assertEquals(401, environment.call("GET", "/safe/x", Map.of()).status());
    assertEquals(401, environment.call("POST", "/unsafe/x", Map.of()).status());
    assertEquals(401, environment.call("POST", "/stream/x", Map.of()).status());
    assertEquals(executedBefore, environment.executedRequests());
    assertEquals(200, environment.call("GET", "/brief/x", Map.of()).status());
  }

  @Test
  @DisplayName("accepts a withdrawn key no longer, also on open connections")
  void withdrawnKeys() {
    assertEquals(200, statusWithKey("first-key"));
    publish(5, "{\"name\":\"w1\",\"api_keys\":[\"third-key\"]}", SECOND);
    Await.until("the key is withdrawn", () -> statusWithKey("first-key") == 401);
    assertEquals(200, statusWithKey("third-key"));
    assertEquals(200, statusWithKey("second-key"));
  }

  @Test
  @DisplayName("knows keys from its peers after a restart without the store, and rejects none")
  void keysFromPeers() throws IOException {
    environment.joinSecondVm("dc");
    environment.store().setFault(StandinStore.Fault.DOWN);
    environment.restartVmBesideSecond();
    Await.until("the peer's configuration is known", () -> statusWithKey("first-key") == 200);
    assertEquals(503, statusWithKey("no-key"));
  }

  @Test
  @DisplayName("passes hashes instead of keys to other VMs")
  void peersGetHashes() {
    String reply =
        environment.peer().reply(new PeerMessage.RoutingStateRequest(1, 0)).toString("ISO-8859-1");
    assertTrue(reply.contains(BearerKeyHash.ofKey("first-key").hex()), reply);
    assertFalse(reply.contains("first-key"), reply);
  }
}
