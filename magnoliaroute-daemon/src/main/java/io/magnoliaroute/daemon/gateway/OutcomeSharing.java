package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointLoadTracker;
import io.magnoliaroute.core.gateway.EndpointOutcomes;
import io.magnoliaroute.core.gateway.OutcomeAggregator;
import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares among the VMs of a data centre which endpoints fail requests. One VM aggregates the
 * outcomes and broadcasts the summary, so that the number of messages grows linearly with the
 * number of VMs and not with its square. No messages are sent while no endpoint fails. When the
 * aggregating VM becomes unreachable, each VM uses its own outcomes until another one takes over.
 * Used on one event loop.
 */
final class OutcomeSharing {

  /** Interval between the messages of a VM while an endpoint fails requests. */
  private static final long SHARE_INTERVAL_MS = 200;

  private static final String RENDEZVOUS_KEY_PREFIX = "outcomes/";

  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final EndpointLoadTracker loads;
  private final InstantSource clock;
  private final OutcomeAggregator aggregator = new OutcomeAggregator();
  private long nextShareMs;

  OutcomeSharing(
      VmEntry self,
      VmDirectory vmDirectory,
      PeerConnections peers,
      EndpointLoadTracker loads,
      InstantSource clock) {
    this.self = self;
    this.vmDirectory = vmDirectory;
    this.peers = peers;
    this.loads = loads;
    this.clock = clock;
  }

  /**
   * Sends this VM's outcomes to the aggregating VM, or broadcasts the summary if it is that VM,
   * once per interval.
   */
  void shareIfDue() {
    long nowMs = clock.millis();
    if (nowMs < nextShareMs) {
      return;
    }
    nextShareMs = nowMs + SHARE_INTERVAL_MS;
    List<EndpointOutcomes> own = loads.failingEndpoints(nowMs);
    List<EndpointOutcomes> all = aggregator.summary(nowMs);
    if (own.isEmpty() && all.isEmpty()) {
      return;
    }
    Map<VmId, HostPort> addresses = reachableLocalVms();
    VmId aggregatingVm =
        RendezvousHashing.owner(RENDEZVOUS_KEY_PREFIX + self.dataCentre(), addresses.keySet());
    if (!aggregatingVm.equals(self.vm())) {
      peers.sendNotification(
          addresses.get(aggregatingVm),
          new PeerMessage.OutcomeReport(self.vm().value(), toEntries(own)));
      return;
    }
    aggregator.update(aggregatingVm, own, nowMs);
    broadcastSummary(aggregator.summary(nowMs), addresses);
  }

  /** Aggregates the outcomes that another VM has observed. */
  void onOutcomeReport(PeerMessage.OutcomeReport report) {
    aggregator.update(new VmId(report.vm()), toOutcomes(report.outcomes()), clock.millis());
  }

  /** Applies the summary of the outcomes that all VMs of the data centre have observed. */
  void onSummary(PeerMessage.OutcomeSummary summary) {
    loads.applySharedOutcomes(toOutcomes(summary.outcomes()), clock.millis());
  }

  private void broadcastSummary(List<EndpointOutcomes> summary, Map<VmId, HostPort> addresses) {
    loads.applySharedOutcomes(summary, clock.millis());
    PeerMessage message = new PeerMessage.OutcomeSummary(toEntries(summary));
    List<HostPort> others = new ArrayList<>(addresses.values());
    others.remove(self.address());
    peers.broadcast(others, message);
  }

  private Map<VmId, HostPort> reachableLocalVms() {
    Map<VmId, HostPort> addresses = new HashMap<>();
    addresses.put(self.vm(), self.address());
    for (VmEntry each : vmDirectory.all()) {
      if (each.dataCentre().equals(self.dataCentre()) && !peers.isUnreachable(each.address())) {
        addresses.put(each.vm(), each.address());
      }
    }
    return addresses;
  }

  private static List<PeerMessage.OutcomeEntry> toEntries(List<EndpointOutcomes> outcomes) {
    List<PeerMessage.OutcomeEntry> entries = new ArrayList<>();
    for (EndpointOutcomes each : outcomes) {
      entries.add(
          new PeerMessage.OutcomeEntry(each.endpoint().value(), each.answered(), each.failed()));
    }
    return entries;
  }

  private static List<EndpointOutcomes> toOutcomes(List<PeerMessage.OutcomeEntry> entries) {
    List<EndpointOutcomes> outcomes = new ArrayList<>();
    for (PeerMessage.OutcomeEntry each : entries) {
      outcomes.add(
          new EndpointOutcomes(new EndpointId(each.endpoint()), each.answered(), each.failed()));
    }
    return outcomes;
  }
}
