package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** The members with their suspicion deadlines and times of death. */
final class MemberTable {

  /** VMs kept, ten times the size designed for; reports of further VMs are ignored. */
  static final int MAX_MEMBERS = 4_096;

  private final NavigableMap<VmId, Member> members = new TreeMap<>();
  private final Map<VmId, Long> suspectUntilMs = new HashMap<>();
  private final Map<VmId, Long> deadSinceMs = new HashMap<>();
  private final long suspicionMs;
  private long digest;
  private long version;

  MemberTable(long suspicionMs) {
    this.suspicionMs = suspicionMs;
  }

  Optional<Member> get(VmId vm) {
    return Optional.ofNullable(members.get(vm));
  }

  int size() {
    return members.size();
  }

  long version() {
    return version;
  }

  /** Returns the digest of the members that are not dead; equal tables have equal digests. */
  long digest() {
    return digest;
  }

  MembershipView view(VmId self) {
    return new MembershipView(self, version, members);
  }

  List<VmId> ids(Predicate<Member> filter) {
    List<VmId> ids = new ArrayList<>();
    for (Member member : members.values()) {
      if (filter.test(member)) {
        ids.add(member.info().vm());
      }
    }
    return ids;
  }

  /**
   * Applies a report if it supersedes what is held, and returns whether it did. A death of a VM
   * that is not known is ignored, so that forgotten VMs do not come back from other tables.
   */
  boolean merge(MemberDelta delta, long nowMs) {
    Member held = members.get(delta.info().vm());
    if (held == null) {
      if (delta.state() == MemberState.DEAD || members.size() >= MAX_MEMBERS) {
        return false;
      }
    } else if (!delta.supersedes(held.incarnation(), held.state())) {
      return false;
    }
    put(new Member(delta.info(), delta.incarnation(), delta.state()), nowMs);
    return true;
  }

  /** Sets a member without regard to precedence. */
  void put(Member member, long nowMs) {
    VmId vm = member.info().vm();
    Member held = members.put(vm, member);
    digest ^= digestOf(held) ^ digestOf(member);
    version++;
    suspectUntilMs.remove(vm);
    deadSinceMs.remove(vm);
    if (member.state() == MemberState.SUSPECT) {
      suspectUntilMs.put(vm, nowMs + suspicionMs);
    }
    if (member.state() == MemberState.DEAD) {
      deadSinceMs.put(vm, nowMs);
    }
  }

  /** Starts the suspicion of a leaving VM, whose state must stay LEAVING for others to see. */
  void suspectLeaving(VmId vm, long nowMs) {
    suspectUntilMs.putIfAbsent(vm, nowMs + suspicionMs);
  }

  /** Ends the suspicion of a leaving VM that has answered. */
  void clearLeavingSuspicion(VmId vm) {
    Member member = members.get(vm);
    if (member != null && member.state() == MemberState.LEAVING) {
      suspectUntilMs.remove(vm);
    }
  }

  List<VmId> suspects() {
    return new ArrayList<>(new TreeMap<>(suspectUntilMs).keySet());
  }

  /** Returns the suspects that did not refute in time. */
  List<VmId> overdueSuspects(long nowMs) {
    if (suspectUntilMs.isEmpty()) {
      return List.of();
    }
    List<VmId> overdue = new ArrayList<>();
    for (Map.Entry<VmId, Long> entry : new TreeMap<>(suspectUntilMs).entrySet()) {
      if (entry.getValue() <= nowMs) {
        overdue.add(entry.getKey());
      }
    }
    return overdue;
  }

  /** Gives each suspect the time that this VM could not listen in addition. */
  void extendSuspicions(long byMs) {
    suspectUntilMs.replaceAll((vm, untilMs) -> untilMs + byMs);
  }

  /** Removes the VMs that died long ago and returns them. */
  List<VmId> forgetDead(long nowMs, long retentionMs) {
    if (deadSinceMs.isEmpty()) {
      return List.of();
    }
    List<VmId> forgotten = new ArrayList<>();
    Iterator<Map.Entry<VmId, Long>> dead = deadSinceMs.entrySet().iterator();
    while (dead.hasNext()) {
      Map.Entry<VmId, Long> entry = dead.next();
      if (nowMs - entry.getValue() >= retentionMs) {
        forgotten.add(entry.getKey());
        members.remove(entry.getKey());
        dead.remove();
        version++;
      }
    }
    return forgotten;
  }

  /** Returns the members of a page in the order of ids; page numbers go round. */
  List<MemberDelta> page(int number, int length) {
    int pages = (members.size() + length - 1) / length;
    return members.values().stream()
        .skip((long) (number % pages) * length)
        .limit(length)
        .map(MemberTable::deltaOf)
        .toList();
  }

  static MemberDelta deltaOf(Member member) {
    return new MemberDelta(member.info(), member.incarnation(), member.state());
  }

  // Suspicion ends by itself within seconds and would make tables differ at most times.
  private static long digestOf(Member member) {
    if (member == null || member.state() == MemberState.DEAD) {
      return 0;
    }
    long leaving = member.state() == MemberState.LEAVING ? 1 : 0;
    long life = Hashing.mix(2 * member.incarnation() + leaving);
    return Hashing.mix(Hashing.fnv1a64(member.info().vm().value()) ^ life);
  }
}
