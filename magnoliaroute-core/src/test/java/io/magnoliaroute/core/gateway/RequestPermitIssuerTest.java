package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.RequestPermitIssuer.Permit;
import io.magnoliaroute.core.model.EndpointId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against more requests to an endpoint than its limit, and against unused permits. */
@DisplayName("A permit issuer")
class RequestPermitIssuerTest {

  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final long WINDOW_MS = 4_000;

  private final RequestPermitIssuer issuer = new RequestPermitIssuer();

  private static RequestLimit limit(double requestsPerS) {
    return new RequestLimit(ENDPOINT, 1, requestsPerS);
  }

  /** Returns the times at which requests may be sent that arrive at random, 100 a second. */
  private List<Long> permittedTimes(RequestLimit limit, long maxDelayMs, long durationMs) {
    Random random = new Random(29);
    List<Long> times = new ArrayList<>();
    for (long nowMs = 0; nowMs < durationMs; nowMs += random.nextInt(21)) {
      Permit permit = issuer.request(limit, 1, maxDelayMs, nowMs);
      if (permit.granted()) {
        times.add(nowMs + permit.delayMs());
      }
    }
    return times;
  }

  private static long mostInWindow(List<Long> times) {
    return times.stream()
        .mapToLong(from -> times.stream().filter(at -> at >= from && at < from + WINDOW_MS).count())
        .max()
        .orElse(0);
  }

  @ParameterizedTest(name = "{0} requests per second")
  @ValueSource(doubles = {0.3, 1, 8.2, 50})
  @DisplayName("uses the limit up and stays within it in each window")
  void limitIsUsedUpAndHeld(double requestsPerS) {
    List<Long> times = permittedTimes(limit(requestsPerS), 0, 60_000);

    assertTrue(times.size() >= 0.9 * requestsPerS * 60 - 1, times.size() + " permits in 60 s");
    double allowed = requestsPerS * WINDOW_MS / 1_000 + Math.max(1, requestsPerS / 2) + 1;
    assertTrue(mostInWindow(times) <= allowed, mostInWindow(times) + " in 4 s, not " + allowed);
  }

  @Test
  @DisplayName("issues permits for later, in the order of the requests, at the limited rate")
  void permitsForLater() {
    List<Long> times = permittedTimes(limit(5), 1_000, 20_000);

    assertEquals(times.stream().sorted().toList(), times);
    assertTrue(mostInWindow(times) <= 5 * 4 + 3, mostInWindow(times) + " in 4 s");
  }

  @Test
  @DisplayName("permits a request now and then at a limit of zero, to find out when it ends")
  void limitOfZero() {
    assertEquals(4, permittedTimes(limit(0), 0, 19_000).size());
  }

  @Nested
  @DisplayName("issues no permit at first")
  class NoPermitAtFirst {

    @Test
    @DisplayName("because another VM may have issued the last ones")
    void afterTakeover() {
      assertEquals(new Permit(false, 200), issuer.request(limit(5), 1, 0, 10_000));
      assertTrue(issuer.request(limit(5), 1, 0, 10_200).granted());
    }

    @Test
    @DisplayName("for another start of the endpoint")
    void otherStart() {
      issuer.request(limit(5), 1, 0, 0);
      assertTrue(issuer.request(limit(5), 1, 0, 300).granted());
      assertFalse(issuer.request(new RequestLimit(ENDPOINT, 2, 5), 1, 0, 500).granted());
    }
  }

  @Test
  @DisplayName("issues only its share while it does not reach the other VMs")
  void shareOfLimit() {
    issuer.request(limit(8), 0.25, 0, 0);

    assertFalse(issuer.request(limit(8), 0.25, 0, 400).granted());
    assertTrue(issuer.request(limit(8), 0.25, 0, 500).granted());
  }
}
