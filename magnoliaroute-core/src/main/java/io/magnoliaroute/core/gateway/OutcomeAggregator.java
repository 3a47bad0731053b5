package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Aggregates the request outcomes that the VMs of a data centre report.
 *
 * <p>An endpoint that fails its requests while its health check passes looks idle and attracts
 * requests. In a fleet, each VM sends it a request only every few seconds, so without aggregation
 * each VM would have to detect the failure on its own. Not thread-safe; confined to one event loop.
 */
public final class OutcomeAggregator {

  /** Age at which a VM's report expires; several times the interval between its reports. */
  static final long REPORT_MAX_AGE_MS = 1_500;

  private final Map<VmId, VmReport> reports = new HashMap<>();

  private record VmReport(List<EndpointOutcomes> outcomes, long receivedAtMs) {}

  /** Replaces the outcomes that a VM has reported. */
  public void update(VmId from, List<EndpointOutcomes> outcomes, long nowMs) {
    reports.put(from, new VmReport(List.copyOf(outcomes), nowMs));
  }

  /** Returns the sum of the outcomes that all VMs have reported, by endpoint. */
  public List<EndpointOutcomes> summary(long nowMs) {
    reports.values().removeIf(each -> nowMs - each.receivedAtMs() >= REPORT_MAX_AGE_MS);
    Map<EndpointId, EndpointOutcomes> sums = new HashMap<>();
    for (VmReport each : reports.values()) {
      for (EndpointOutcomes outcomes : each.outcomes()) {
        sums.merge(outcomes.endpoint(), outcomes, EndpointOutcomes::plus);
      }
    }
    return List.copyOf(sums.values());
  }
}
