package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;

/** Buffers membership events until the caller takes them. */
final class EventBuffer {

  /** Interval after which a newer settings version is reported again, in case the fetch failed. */
  private static final long CONFIG_REPORT_INTERVAL_MS = 1_000;

  private List<MembershipEvent> events = new ArrayList<>();
  private long reportedConfigVersion = Long.MIN_VALUE;
  private long configReportedAtMs;

  List<MembershipEvent> drain() {
    if (events.isEmpty()) {
      return List.of();
    }
    List<MembershipEvent> taken = events;
    events = new ArrayList<>();
    return taken;
  }

  void addStateChanged(VmId vm, MemberState from, MemberState to, long incarnation) {
    if (from != to) {
      events.add(new MembershipEvent.StateChanged(vm, from, to, incarnation));
    }
  }

  void addLocalPauseDetected(long gapMs, long incarnation) {
    events.add(new MembershipEvent.LocalPauseDetected(gapMs, incarnation));
  }

  void addLocalStateRefuted(MemberState refutedState, long incarnation) {
    events.add(new MembershipEvent.LocalStateRefuted(refutedState, incarnation));
  }

  void addLocalVmMarkedLeaving() {
    events.add(new MembershipEvent.LocalVmMarkedLeaving());
  }

  void addIfNewerConfig(VmId peer, long peerVersion, long localVersion, long nowMs) {
    boolean repeatDue = nowMs - configReportedAtMs >= CONFIG_REPORT_INTERVAL_MS;
    if (peerVersion <= localVersion || (peerVersion <= reportedConfigVersion && !repeatDue)) {
      return;
    }
    reportedConfigVersion = Math.max(peerVersion, reportedConfigVersion);
    configReportedAtMs = nowMs;
    events.add(new MembershipEvent.NewerConfigReported(peer, peerVersion));
  }
}
