package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.ResponseHead;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Tracks the request limits that endpoints report in their responses. Used on one event loop. */
final class RequestLimitTracker {

  private final DecisionLog log;
  private final Map<EndpointId, Double> limitsPerS = new HashMap<>();

  RequestLimitTracker(DecisionLog log) {
    this.log = log;
  }

  /** Handles the head of a response of the endpoint. */
  void onResponseHead(EndpointEntry endpoint, ResponseHead head) {
    OptionalDouble limitPerS = head.requestLimitPerS();
    if (limitPerS.isPresent()) {
      Double before = limitsPerS.put(endpoint.id(), limitPerS.getAsDouble());
      if (before == null || before != limitPerS.getAsDouble()) {
        log.line("request_limit_changed")
            .put("endpoint", endpoint.id().value())
            .put("limit_per_s", String.valueOf(limitPerS.getAsDouble()))
            .write();
      }
    } else if (!head.hasRequestLimit() && limitsPerS.remove(endpoint.id()) != null) {
      log.line("request_limit_ended").put("endpoint", endpoint.id().value()).write();
    }
  }
}
