package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;

/** The events that the caller has not taken yet. */
final class EventBuffer {

  /** Time after which a newer settings version is reported again, as the fetch may have failed. */
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

  void ownStateRefuted(MemberState refuted, long incarnation) {
    events.add(new MembershipEvent.OwnStateRefuted(refuted, incarnation));
  }

  void ownLeavingMarked() {
    events.add(new MembershipEvent.OwnLeavingMarked());
  }

  void configVersionSeen(VmId from, long seen, long own, long nowMs) {
    boolean repeat = nowMs - reportedConfigAtMs >= CONFIG_REPEAT_MS;
    if (seen <= own || (seen <= reportedConfigVersion && !repeat)) {
      return;
    }
    reportedConfigVersion = Math.max(seen, reportedConfigVersion);
    reportedConfigAtMs = nowMs;
    events.add(new MembershipEvent.NewerConfigSeen(from, seen));
  }
}
