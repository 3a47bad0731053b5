package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to endpoints that are shutting down or removed, and against dropping
 * endpoints that still run.
 */
@DisplayName("An endpoint directory")
class EndpointDirectoryTest {

  private static final EndpointId ID = new EndpointId("e1");
  private static final long GRACE_PERIOD_MS = 2_000;

  private final EndpointDirectory directory = new EndpointDirectory();

  private static EndpointEntry entry(boolean draining, long startedAtMs, long sequence) {
    return new EndpointEntry(
        ID, "s", new HostPort("10.0.0.1", 80), "dc", 4, draining, startedAtMs, sequence, "v1");
  }

  private boolean isOffered(long nowMs) {
    return !directory.usableEndpoints("s", nowMs).isEmpty();
  }

  @Test
  @DisplayName("does not offer a draining endpoint")
  void draining() {
    directory.apply(entry(false, 1, 1));
    directory.apply(entry(true, 1, 2));

    assertFalse(isOffered(0));
  }

  @Test
  @DisplayName("ignores an entry that is older than the current one")
  void olderEntry() {
    directory.apply(entry(true, 1, 5));

    assertFalse(directory.apply(entry(false, 1, 4)));
    assertFalse(isOffered(0));
  }

  @Test
  @DisplayName("accepts the entry of a restarted endpoint although its sequence starts over")
  void restart() {
    directory.apply(entry(true, 1, 5));

    assertTrue(directory.apply(entry(false, 2, 1)));
    assertTrue(isOffered(0));
  }

  @Test
  @DisplayName("does not restore a removed endpoint from an old entry")
  void oldEntryAfterRemoval() {
    directory.apply(entry(false, 1, 5));
    directory.remove(ID, 0, 0);

    directory.apply(entry(false, 1, 5));

    assertEquals(List.of(), directory.entries());
  }

  @Nested
  @DisplayName("with the tombstone of an endpoint")
  class Tombstone {

    @Test
    @DisplayName("does not offer the endpoint although its entry stays ready")
    void staysReady() {
      directory.apply(entry(false, 1, 1));
      directory.applyTombstone(new EndpointTombstone(ID, 1, EndpointTombstone.ALL_ENTRIES));
      directory.apply(entry(false, 1, 9));

      assertFalse(isOffered(0));
      assertFalse(directory.maySendTo(entry(false, 1, 9), 0));
    }

    @Test
    @DisplayName(
        "does not use the endpoint as a fallback when all endpoints of its service are removed")
    void noFallback() {
      directory.apply(entry(false, 1, 1));
      directory.applyTombstone(new EndpointTombstone(ID, 1, EndpointTombstone.ALL_ENTRIES));
      directory.remove(ID, GRACE_PERIOD_MS, 0);

      assertFalse(isOffered(1));
    }

    @Test
    @DisplayName("offers the endpoint again after a restart with the same id")
    void restart() {
      directory.applyTombstone(new EndpointTombstone(ID, 1, EndpointTombstone.ALL_ENTRIES));
      directory.apply(entry(false, 2, 1));

      assertTrue(isOffered(0));
    }

    @Test
    @DisplayName("ignores an older entry, whether it arrives before or after the tombstone")
    void olderEntry() {
      directory.applyTombstone(new EndpointTombstone(ID, 1, 5));
      directory.apply(entry(false, 1, 5));
      assertFalse(isOffered(0));

      directory.apply(entry(false, 1, 6));
      assertTrue(isOffered(0));
      directory.applyTombstone(new EndpointTombstone(ID, 1, 6));
      assertFalse(isOffered(0));
    }

    @Test
    @DisplayName(
        "returns tombstones of removed endpoints, but not of those that may only have expired")
    void tombstonesOfRemovedEndpoints() {
      directory.apply(entry(false, 1, 5));
      directory.remove(ID, GRACE_PERIOD_MS, 0);

      assertEquals(List.of(), directory.tombstones(GRACE_PERIOD_MS - 1));
      assertEquals(List.of(new EndpointTombstone(ID, 1, 5)), directory.tombstones(GRACE_PERIOD_MS));
    }
  }

  @Nested
  @DisplayName("when an entry is removed")
  class Removal {

    @Test
    @DisplayName("after a store outage, offers the endpoint until the grace period ends")
    void afterOutage() {
      directory.apply(entry(false, 1, 1));
      directory.remove(ID, 1_000 + GRACE_PERIOD_MS, 1_000);

      assertTrue(isOffered(1_000 + GRACE_PERIOD_MS - 1));
      assertFalse(isOffered(1_000 + GRACE_PERIOD_MS));
    }

    @Test
    @DisplayName("after a store outage, drops a draining endpoint immediately")
    void drainingAfterOutage() {
      directory.apply(entry(true, 1, 1));
      directory.remove(ID, 1_000 + GRACE_PERIOD_MS, 1_000);

      assertFalse(isOffered(1_000));
    }

    @Test
    @DisplayName("because a listing lacks it, drops the endpoint immediately")
    void missingInListing() {
      directory.apply(entry(false, 1, 1));
      directory.apply(other());

      directory.applyListing(List.of(other()), 0, 1_000);

      assertEquals(List.of(other()), directory.usableEndpoints("s", 1_000));
    }

    @Test
    @DisplayName("as the last one of its service, offers the endpoint for the fallback period")
    void lastOfService() {
      directory.apply(entry(false, 1, 1));

      directory.remove(ID, 0, 1_000);

      assertTrue(isOffered(1_000 + EndpointDirectory.FALLBACK_GRACE_MS - 1));
      assertFalse(isOffered(1_000 + EndpointDirectory.FALLBACK_GRACE_MS));
    }

    @Test
    @DisplayName("because another endpoint has its address, drops it and ignores old entries")
    void displaced() {
      directory.apply(entry(false, 1, 1));
      directory.removeDisplaced(entry(false, 1, 1));

      assertFalse(isOffered(0));
      directory.apply(entry(false, 1, 1));
      assertFalse(isOffered(0));
      directory.apply(entry(false, 1, 2));
      assertTrue(isOffered(0));
    }

    private EndpointEntry other() {
      return new EndpointEntry(
          new EndpointId("e2"), "s", new HostPort("10.0.0.2", 80), "dc", 4, false, 1, 1, "v1");
    }
  }
}
