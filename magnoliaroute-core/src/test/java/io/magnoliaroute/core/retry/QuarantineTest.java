package io.magnoliaroute.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class QuarantineTest {

  private static final QuarantineSettings SETTINGS = new QuarantineSettings(2, 1_000, 5_000, 3);
  private static final Fingerprint CRASHING = Fingerprint.ofModelCall("m", List.of("bad"));
  private static final EndpointId FIRST = new EndpointId("engine-1");
  private static final EndpointId SECOND = new EndpointId("engine-2");

  private final Quarantine quarantine = new Quarantine(SETTINGS);

  /** Guards against a request that is retried and crashes a third endpoint. */
  @Test
  void requestIsQuarantinedAfterCrashingTwoEndpoints() {
    assertEquals(Optional.empty(), quarantine.recordCrash(CRASHING, FIRST, 0));
    assertFalse(quarantine.isQuarantined(CRASHING, 0));
    assertEquals(Set.of(FIRST), quarantine.crashedEndpoints(CRASHING, 0));
    assertEquals(
        Optional.of(new Quarantine.QuarantineEntry(CRASHING, 5_100)),
        quarantine.recordCrash(CRASHING, SECOND, 100));
    assertTrue(quarantine.isQuarantined(CRASHING, 5_099));
    assertFalse(quarantine.isQuarantined(CRASHING, 5_100));
  }

  /** Guards against a duplicate report that counts a crash of one endpoint as two. */
  @Test
  void crashReportedTwiceIsCountedOnce() {
    assertEquals(Optional.empty(), quarantine.recordCrash(CRASHING, FIRST, 0));
    assertEquals(Optional.empty(), quarantine.recordCrash(CRASHING, FIRST, 1));
  }

  /** Guards against a request that crashes each start of an endpoint that keeps its id. */
  @Test
  void crashesOfSeveralStartsOfOneEndpointAreCounted() {
    Quarantine longSuspicion = new Quarantine(new QuarantineSettings(2, 60_000, 5_000, 3));
    assertEquals(Optional.empty(), longSuspicion.recordCrash(CRASHING, FIRST, 0));
    assertTrue(longSuspicion.recordCrash(CRASHING, FIRST, Quarantine.MIN_RESTART_MS).isPresent());
  }

  /** Guards against a request that is quarantined for crashes hours apart. */
  @Test
  void suspicionExpires() {
    quarantine.recordCrash(CRASHING, FIRST, 0);
    assertTrue(quarantine.isSuspected(CRASHING, 999));
    assertFalse(quarantine.isSuspected(CRASHING, 1_000));
    assertEquals(Optional.empty(), quarantine.recordCrash(CRASHING, SECOND, 1_000));
  }

  /** Guards against diverging VMs after records are read more than once or out of order. */
  @Test
  void recordsOfOtherVmsAreMergedInAnyOrder() {
    quarantine.applyQuarantined(CRASHING, 9_000);
    quarantine.applyQuarantined(CRASHING, 4_000);
    quarantine.applyQuarantined(CRASHING, 9_000);
    assertTrue(quarantine.isQuarantined(CRASHING, 8_999));
    assertEquals(1, quarantine.quarantinedRequests(0).size());
  }

  /** Guards against unbounded memory use when many different requests crash endpoints. */
  @Test
  void entriesAreBoundedAndTheOldestIsEvictedFirst() {
    for (int i = 0; i < 10; i++) {
      Fingerprint fingerprint = Fingerprint.ofModelCall("m", List.of("request " + i));
      quarantine.applyQuarantined(fingerprint, 5_000);
      quarantine.recordCrash(Fingerprint.ofModelCall("n", List.of("request " + i)), FIRST, 0);
    }
    assertEquals(3, quarantine.quarantinedRequests(0).size());
    assertTrue(quarantine.isQuarantined(Fingerprint.ofModelCall("m", List.of("request 9")), 0));
    assertFalse(quarantine.isSuspected(Fingerprint.ofModelCall("n", List.of("request 0")), 0));
    quarantine.removeExpired(6_000);
    assertEquals(0, quarantine.quarantinedRequests(0).size());
  }

  /**
   * Guards against different requests with the same fingerprint, of which a harmless one would be
   * refused.
   */
  @Test
  void fingerprintsDistinguishPartBoundaries() {
    assertNotEquals(
        Fingerprint.ofModelCall("m", List.of("ab", "c")),
        Fingerprint.ofModelCall("m", List.of("a", "bc")));
    assertNotEquals(
        Fingerprint.ofServiceCall("s", "op", "x"),
        Fingerprint.ofModelCall("s", List.of("op", "x")));
  }
}
