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
public final class OutcomeBoard {

  /** Age at which a VM's report expires; several times the interval between its reports. */
  static final long VM_LIFE_MS = 1_500;

  private final Map<VmId, Said> said = new HashMap<>();

  private record Said(List<Outcomes> outcomes, long atMs) {}

  /** Replaces the outcomes that a VM has reported. */
  public void take(VmId from, List<Outcomes> outcomes, long nowMs) {
    said.put(from, new Said(List.copyOf(outcomes), nowMs));
  }

  /** Returns the sum of the outcomes that all VMs have reported, by endpoint. */
  public List<Outcomes> summary(long nowMs) {
    said.values().removeIf(each -> nowMs - each.atMs() >= VM_LIFE_MS);
    Map<EndpointId, Outcomes> sums = new HashMap<>();
    for (Said each : said.values()) {
      for (Outcomes outcomes : each.outcomes()) {
        sums.merge(outcomes.endpoint(), outcomes, Outcomes::plus);
      }
    }
    return List.copyOf(sums.values());
  }
}
