package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Tracks the pending probes of this VM and those that it relays for other VMs. */
final class ProbeTracker {

  /** Maximum number of pending relayed probes; further requests are dropped. */
  private static final int MAX_RELAYED_PROBES = 64;

  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
  private long nextSequence;

  ProbeTracker(long firstSequence) {
    this.nextSequence = firstSequence;
  }

  /**
   * A pending probe of this VM.
   *
   * @param sequence the sequence of the ping
   * @param target the probed VM
   * @param sentAtMs when the direct probe was sent
   * @param suspectOnTimeout whether the target becomes suspect if no ack arrives in time
   * @param indirectSent whether helpers have been asked to probe the target
   */
  record Probe(
      long sequence, VmId target, long sentAtMs, boolean suspectOnTimeout, boolean indirectSent) {}

  /**
   * A pending probe that is relayed for another VM.
   *
   * @param requester the VM that requested the probe
   * @param requesterSequence the sequence of that VM's request
   * @param target the probed VM
   * @param sentAtMs when the relayed probe was sent
   */
  record RelayedProbe(VmId requester, long requesterSequence, VmId target, long sentAtMs) {}

  /** Starts a probe and returns its sequence, whose low bits hold the page number. */
  long start(VmId target, boolean suspectOnTimeout, int page, long nowMs) {
    long sequence = allocateSequence(page);
    probes.put(sequence, new Probe(sequence, target, nowMs, suspectOnTimeout, false));
    return sequence;
  }

  /**
   * Starts a probe on behalf of another VM and returns its sequence, or empty if too many relayed
   * probes are pending.
   */
  Optional<Long> startRelayed(VmId requester, long requesterSequence, VmId target, long nowMs) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return Optional.empty();
    }
    long sequence = allocateSequence(0);
    relayedProbes.put(sequence, new RelayedProbe(requester, requesterSequence, target, nowMs));
    return Optional.of(sequence);
  }

  /** Removes and returns the probe that an ack belongs to, or empty if it is not pending. */
  Optional<Probe> complete(long sequence) {
    return Optional.ofNullable(probes.remove(sequence));
  }

  /** Removes and returns the relayed probe that an ack of its target belongs to. */
  Optional<RelayedProbe> completeRelayed(long sequence, VmId from) {
    RelayedProbe relay = relayedProbes.get(sequence);
    if (relay == null || !relay.target().equals(from)) {
      return Optional.empty();
    }
    relayedProbes.remove(sequence);
    return Optional.of(relay);
  }

  /** Returns the probes whose direct ack is overdue and marks them as sent to helpers. */
  List<Probe> markOverdueDirect(long nowMs, long directTimeoutMs) {
    if (probes.isEmpty()) {
      return List.of();
    }
    List<Probe> overdue = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.indirectSent()
          && probe.suspectOnTimeout()
          && nowMs - probe.sentAtMs() >= directTimeoutMs) {
        overdue.add(probe);
        entry.setValue(new Probe(probe.sequence(), probe.target(), probe.sentAtMs(), true, true));
      }
    }
    return overdue;
  }

  /** Removes and returns the probes that timed out; also drops relayed probes that timed out. */
  List<Probe> removeTimedOut(long nowMs, long probeTimeoutMs) {
    if (probes.isEmpty() && relayedProbes.isEmpty()) {
      return List.of();
    }
    List<Probe> unanswered = new ArrayList<>();
    Iterator<Probe> iterator = probes.values().iterator();
    while (iterator.hasNext()) {
      Probe probe = iterator.next();
      if (nowMs - probe.sentAtMs() >= probeTimeoutMs) {
        unanswered.add(probe);
        iterator.remove();
      }
    }
    relayedProbes.values().removeIf(relay -> nowMs - relay.sentAtMs() >= probeTimeoutMs);
    return unanswered;
  }

  private long allocateSequence(int page) {
    long pages = 1L << MembershipMessage.PAGE_BITS;
    return nextSequence++ * pages + page % pages;
  }

  /** Drops all pending probes without suspecting their targets. */
  void clear() {
    probes.clear();
    relayedProbes.clear();
  }
}
