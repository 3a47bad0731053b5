package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreException;
import io.magnoliaroute.platform.StoreRecord;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against requests to endpoints that left soon after an outage of the store. */
@DisplayName("After an outage of the store, an endpoint whose entry is removed")
class RegistrationGraceTest {

  private static final long OUTAGE_MS = 3_000;
  private static final long GRACE_MS = StoreHealth.REREGISTRATION_GRACE_MS;

  private final RoutingState routingState = new RoutingState();
  private long nowMs;
  private final InstantSource clock = () -> Instant.ofEpochMilli(nowMs);
  private final DecisionLog log = new DecisionLog("vm-1", clock);
  private final StoreHealth health = new StoreHealth(clock, log);
  private final StoreTail.Listener listener =
      new RoutingStateUpdater(routingState, health, clock, log).endpointListener();

  @BeforeEach
  void listTwoEndpoints() {
    listener.onListing(new StoreClient.Listing(List.of(ready("e1", 0), ready("e2", 1)), 2));
  }

  private static StoreRecord ready(String id, long offset) {
    String entry =
        "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"dc\",\"version\":\"v1\",\"slots\":4,"
            + "\"state\":\"ready\",\"born\":1,\"seq\":1}";
    return new StoreRecord(
        id, Optional.of(Bytes.copyOf(entry.getBytes(StandardCharsets.UTF_8))), offset);
  }

  private void removeSecondEndpoint() {
    StoreRecord removal = new StoreRecord("e2", Optional.empty(), 2);
    listener.onRecords(new StoreClient.Page(3, List.of(removal), List.of(), 3));
  }

  private void failCall(long startedMs) {
    health.recordFailure(new StoreException(StoreException.Kind.UNKNOWN, "no answer"), startedMs);
  }

  private void endOutage() {
    failCall(0);
    nowMs = OUTAGE_MS;
    health.recordSuccess();
  }

  private int usableEndpoints() {
    return routingState.endpoints().usableEndpoints("s", nowMs).size();
  }

  @Test
  @DisplayName("stays usable until running endpoints have registered again")
  void staysUsableUntilRegistered() {
    endOutage();
    removeSecondEndpoint();

    nowMs = OUTAGE_MS + GRACE_MS - 1;
    assertEquals(2, usableEndpoints());
    nowMs++;
    assertEquals(1, usableEndpoints());
  }

  @Test
  @DisplayName("gets no requests beyond the grace period, however late the removal is read")
  void lateRemovalDoesNotExtendGracePeriod() {
    endOutage();
    nowMs = OUTAGE_MS + GRACE_MS - 700;
    removeSecondEndpoint();

    nowMs = OUTAGE_MS + GRACE_MS;
    assertEquals(1, usableEndpoints());
  }

  @Test
  @DisplayName("gets no further grace period because a call from before the outage fails late")
  void callFromBeforeOutageDoesNotRestartGracePeriod() {
    endOutage();
    nowMs = OUTAGE_MS + GRACE_MS;
    failCall(0);
    nowMs += 600;
    health.recordSuccess();

    removeSecondEndpoint();

    assertEquals(1, usableEndpoints());
  }
}
