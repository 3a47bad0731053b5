package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.daemon.support.KnownRed;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that get more requests than the limit that they report. */
@DisplayName("When an endpoint reports a request limit, the VMs")
class RequestLimitTest {

  private static final int LIMIT_PER_S = 5;

  /** The requests that an endpoint may get in 4 s: one and a half times its limit, and 5 more. */
  private static final int MAX_REQUESTS_IN_4_S = LIMIT_PER_S * 4 * 3 / 2 + 5;

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
  @KnownRed
  @DisplayName("together stay within the limit, and the other endpoints serve the rest")
  void limitHoldsForAllVmsTogether() {
    environment.joinSecondVm("dc");
    environment.firstEndpoint().setRequestLimit(Optional.of(String.valueOf(LIMIT_PER_S)));
    environment.sendAtRate(40, 1_000, "/safe/x");

    int receivedBefore = environment.firstEndpoint().receivedDeadlines().size();
    assertEquals(Set.of(200), Set.copyOf(environment.sendAtRate(40, 4_000, "/safe/x")));

    int received = environment.firstEndpoint().receivedDeadlines().size() - receivedBefore;
    assertTrue(
        received <= MAX_REQUESTS_IN_4_S,
        received + " requests in 4 s, " + MAX_REQUESTS_IN_4_S + " allowed");
  }
}
