package io.magnoliaroute.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.retry.Fingerprint;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against sound requests that are refused because their endpoints crash. */
@DisplayName("A quarantine of requests that crash endpoints")
class CrashQuarantineTest {

  private static final Fingerprint REQUEST = Fingerprint.ofServiceCall("/hot", "GET", "");

  private final InstantSource clock = InstantSource.fixed(Instant.EPOCH);
  private final CrashQuarantine quarantine = create("vm-1");

  private CrashQuarantine create(String vm) {
    return new CrashQuarantine(clock, new DecisionLog(vm, clock), new GatewayMetrics());
  }

  private void recordCrashes(int first, int last) {
    for (int i = first; i <= last; i++) {
      quarantine.recordCrash(REQUEST, new EndpointId("e" + i));
    }
  }

  @Test
  @DisplayName("spares a request that endpoints complete between the crashes")
  void completedRequestIsNotQuarantined() {
    recordCrashes(1, 2);
    quarantine.recordCompletion(REQUEST);
    recordCrashes(3, 4);

    assertFalse(quarantine.isQuarantined(REQUEST));
  }

  @Test
  @DisplayName("passes its knowledge on, and counts what it gets once")
  void knowledgeIsPassedOn() {
    recordCrashes(1, 2);
    CrashQuarantine restarted = create("vm-2");
    for (int i = 0; i < 2; i++) {
      quarantine.crashingRequests().forEach(restarted::applyPeerKnowledge);
    }
    assertFalse(restarted.isQuarantined(REQUEST));

    restarted.recordCrash(REQUEST, new EndpointId("e3"));

    assertTrue(restarted.isQuarantined(REQUEST));
    recordCrashes(3, 3);
    CrashQuarantine next = create("vm-3");
    quarantine.crashingRequests().forEach(next::applyPeerKnowledge);
    assertTrue(next.isQuarantined(REQUEST));
  }
}
