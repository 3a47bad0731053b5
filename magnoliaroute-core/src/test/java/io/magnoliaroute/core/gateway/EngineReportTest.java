package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against aborting healthy streams and against waiting on dead connections. */
@DisplayName("According to an engine report, a silent stream")
class EngineReportTest {

  @Test
  @DisplayName("may be healthy if it runs and all of its events were received")
  void allEventsReceived() {
    assertTrue(new EngineReport(0, Map.of("r", 3L)).mayBeHealthy("r", 3));
  }

  @Test
  @DisplayName("may be healthy if it may be waiting for a slot")
  void waiting() {
    assertTrue(new EngineReport(2, Map.of("other", 3L)).mayBeHealthy("r", 0));
  }

  @Test
  @DisplayName("is broken if events that the engine sent were not received")
  void eventsLost() {
    assertFalse(new EngineReport(2, Map.of("r", 4L)).mayBeHealthy("r", 3));
  }

  @Test
  @DisplayName("is broken if it neither runs nor can be waiting")
  void notRunning() {
    assertFalse(new EngineReport(0, Map.of("other", 4L)).mayBeHealthy("r", 3));
  }
}
