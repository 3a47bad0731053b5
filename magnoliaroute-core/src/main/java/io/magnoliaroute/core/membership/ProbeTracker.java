package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The probes of this VM, and those that it sent for others, that wait for an answer. */
final class ProbeTracker {

  /** Probes for others that wait at the same time; more are not sent. */
  private static final int MAX_RELAYS = 64;

  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, Relay> relays = new LinkedHashMap<>();
  private long nextSequence;

  ProbeTracker(long firstSequence) {
    this.nextSequence = firstSequence;
  }

  /**
   * A probe of this VM.
   *
   * @param sequence its sequence
   * @param target the VM probed
   * @param sentAtMs when the direct probe was sent
   * @param judged whether a missing answer makes the target suspect
   * @param indirectSent whether helpers were asked
   */
  record Probe(long sequence, VmId target, long sentAtMs, boolean judged, boolean indirectSent) {}

  /**
   * A probe sent for another VM.
   *
   * @param origin the VM that asked
   * @param originSequence the sequence of its request
   * @param target the VM probed
   * @param sentAtMs when it was sent
   */
  record Relay(VmId origin, long originSequence, VmId target, long sentAtMs) {}

  /** Starts a probe that asks for the page, if for any, and returns its sequence. */
  long start(VmId target, boolean judged, int page, long nowMs) {
    long sequence = takeSequence(page);
    probes.put(sequence, new Probe(sequence, target, nowMs, judged, false));
    return sequence;
  }

  /** Starts a probe for another VM and returns its sequence, or nothing if too many wait. */
  Optional<Long> startRelay(VmId origin, long originSequence, VmId target, long nowMs) {
    if (relays.size() >= MAX_RELAYS) {
      return Optional.empty();
    }
    long sequence = takeSequence(0);
    relays.put(sequence, new Relay(origin, originSequence, target, nowMs));
    return Optional.of(sequence);
  }

  /** Ends the probe that the answer belongs to and returns it. */
  Optional<Probe> answered(long sequence) {
    return Optional.ofNullable(probes.remove(sequence));
  }

  /** Ends the probe for another VM that the target has answered and returns it. */
  Optional<Relay> relayAnswered(long sequence, VmId from) {
    Relay relay = relays.get(sequence);
    if (relay == null || !relay.target().equals(from)) {
      return Optional.empty();
    }
    relays.remove(sequence);
    return Optional.of(relay);
  }

  /** Returns the probes whose direct answer is overdue and marks them as sent to helpers. */
  List<Probe> takeOverdueDirect(long nowMs, long directTimeoutMs) {
    if (probes.isEmpty()) {
      return List.of();
    }
    List<Probe> overdue = new ArrayList<>();
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (!probe.indirectSent() && probe.judged() && nowMs - probe.sentAtMs() >= directTimeoutMs) {
        overdue.add(probe);
        entry.setValue(new Probe(probe.sequence(), probe.target(), probe.sentAtMs(), true, true));
      }
    }
    return overdue;
  }

  /** Ends the probes that nobody has answered in time and returns them. */
  List<Probe> takeUnanswered(long nowMs, long probeTimeoutMs) {
    if (probes.isEmpty() && relays.isEmpty()) {
      return List.of();
    }
    List<Probe> unanswered = new ArrayList<>();
    Iterator<Probe> waiting = probes.values().iterator();
    while (waiting.hasNext()) {
      Probe probe = waiting.next();
      if (nowMs - probe.sentAtMs() >= probeTimeoutMs) {
        unanswered.add(probe);
        waiting.remove();
      }
    }
    relays.values().removeIf(relay -> nowMs - relay.sentAtMs() >= probeTimeoutMs);
    return unanswered;
  }

  private long takeSequence(int page) {
    long pages = 1L << MembershipMessage.PAGE_BITS;
    return nextSequence++ * pages + page % pages;
  }

  /** Drops every probe without a verdict. */
  void clear() {
    probes.clear();
    relays.clear();
  }
}
