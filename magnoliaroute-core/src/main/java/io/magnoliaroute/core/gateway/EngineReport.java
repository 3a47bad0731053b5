package io.magnoliaroute.core.gateway;

import java.util.Map;

/**
 * A model engine's report of its running requests, which lags by some hundred milliseconds.
 *
 * <p>Streams that wait long for a slot or run on a slow engine look like streams whose connection
 * is dead. The report distinguishes the two cases, because aborting a healthy stream wastes its
 * work and its place in the queue.
 *
 * @param waiting number of requests that wait for a slot
 * @param eventsEmitted number of events that each running request has emitted, by request id
 */
public record EngineReport(long waiting, Map<String, Long> eventsEmitted) {

  /** Makes a defensive copy of the map. */
  public EngineReport {
    eventsEmitted = Map.copyOf(eventsEmitted);
  }

  /**
   * Returns whether a silent stream may still be healthy: it runs and all events that it emitted
   * have been received, or it may still wait for a slot.
   *
   * @param requestId the id of the stream's request
   * @param eventsReceived number of events that have been received
   */
  public boolean mayBeHealthy(String requestId, long eventsReceived) {
    Long emitted = eventsEmitted.get(requestId);
    return emitted == null ? waiting > 0 : emitted <= eventsReceived;
  }
}
