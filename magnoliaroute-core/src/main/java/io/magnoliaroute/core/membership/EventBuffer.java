package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;

/** Buffers membership events until the caller takes them. */
final class EventBuffer {

  /** Interval after which a newer settings version is reported again, in case the fetch failed. */
  private static final long CONFIG_REPEAT_MS = 1_000;

  private List<MembershipEvent> events = new ArrayList<>();
  private long reportedConfigVersion = Long.MIN_VALUE;
  private long reportedConfigAtMs;

  List<MembershipEvent> take() {
    if (events.isEmpty()) {
      return List.of();
    }
    List<MembershipEvent> taken = events;
    events = new ArrayList<>();
    return taken;
  }

  void stateChanged(VmId vm, MemberState from, MemberState to, long incarnation) {
    if (from != to) {
      events.add(new MembershipEvent.StateChanged(vm, from, to, incarnation));
    }
  }

  void ownPauseDetected(long gapMs, long incarnation) {
    events.add(new MembershipEvent.OwnPauseDetected(gapMs, incarnation));
  }

  void ownStateRefuted(MemberState refutedState, long incarnation) {
    events.add(new MembershipEvent.OwnStateRefuted(refutedState, incarnation));
  }

  void ownLeavingMarked() {
    events.add(new MembershipEvent.OwnLeavingMarked());
  }

  void configVersionSeen(VmId peer, long peerVersion, long localVersion, long nowMs) {
    boolean repeatDue = nowMs - reportedConfigAtMs >= CONFIG_REPEAT_MS;
    if (peerVersion <= localVersion || (peerVersion <= reportedConfigVersion && !repeatDue)) {
      return;
    }
    reportedConfigVersion = Math.max(peerVersion, reportedConfigVersion);
    reportedConfigAtMs = nowMs;
    events.add(new MembershipEvent.NewerConfigSeen(peer, peerVersion));
  }
}
