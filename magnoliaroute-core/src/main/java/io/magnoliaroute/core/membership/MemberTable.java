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

/** The known VMs, with their suspicion deadlines and times of death. */
final class MemberTable {

  /**
   * Maximum number of VMs, ten times the size that the cluster is designed for. Reports about
   * further VMs are ignored.
   */
  static final int MAX_MEMBERS = 4_096;

  private final NavigableMap<VmId, Member> members = new TreeMap<>();
  private final Map<VmId, Long> suspicionDeadlineMs = new HashMap<>();
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
   * Applies a report if it supersedes the current entry, and returns whether it did. A report that
   * an unknown VM is dead is ignored, so that evicted VMs are not added again from other tables.
   */
  boolean merge(MemberDelta delta, long nowMs) {
    Member current = members.get(delta.info().vm());
    if (current == null) {
      if (delta.state() == MemberState.DEAD || members.size() >= MAX_MEMBERS) {
        return false;
      }
    } else if (!delta.supersedes(current.incarnation(), current.state())) {
      return false;
    }
    put(new Member(delta.info(), delta.incarnation(), delta.state()), nowMs);
    return true;
  }

  /** Sets a member regardless of precedence. */
  void put(Member member, long nowMs) {
    VmId vm = member.info().vm();
    Member previous = members.put(vm, member);
    digest ^= digestOf(previous) ^ digestOf(member);
    version++;
    suspicionDeadlineMs.remove(vm);
    deadSinceMs.remove(vm);
    if (member.state() == MemberState.SUSPECT) {
      suspicionDeadlineMs.put(vm, nowMs + suspicionMs);
    }
    if (member.state() == MemberState.DEAD) {
      deadSinceMs.put(vm, nowMs);
    }
  }

  /**
   * Starts the suspicion timeout of a leaving VM. Its state stays {@code LEAVING}, because other
   * VMs must still see the mark.
   */
  void startLeavingSuspicion(VmId vm, long nowMs) {
    suspicionDeadlineMs.putIfAbsent(vm, nowMs + suspicionMs);
  }

  /** Cancels the suspicion of a leaving VM that has answered a probe. */
  void clearLeavingSuspicion(VmId vm) {
    Member member = members.get(vm);
    if (member != null && member.state() == MemberState.LEAVING) {
      suspicionDeadlineMs.remove(vm);
    }
  }

  List<VmId> suspects() {
    return new ArrayList<>(new TreeMap<>(suspicionDeadlineMs).keySet());
  }

  /** Returns the VMs whose suspicion deadline has passed. */
  List<VmId> expiredSuspects(long nowMs) {
    if (suspicionDeadlineMs.isEmpty()) {
      return List.of();
    }
    List<VmId> overdue = new ArrayList<>();
    for (Map.Entry<VmId, Long> entry : new TreeMap<>(suspicionDeadlineMs).entrySet()) {
      if (entry.getValue() <= nowMs) {
        overdue.add(entry.getKey());
      }
    }
    return overdue;
  }

  /** Extends each suspicion by the time during which this VM could not receive messages. */
  void extendSuspicions(long durationMs) {
    suspicionDeadlineMs.replaceAll((vm, deadlineMs) -> deadlineMs + durationMs);
  }

  /** Evicts the VMs that have been dead for at least the retention time, and returns them. */
  List<VmId> evictDead(long nowMs, long retentionMs) {
    if (deadSinceMs.isEmpty()) {
      return List.of();
    }
    List<VmId> evicted = new ArrayList<>();
    Iterator<Map.Entry<VmId, Long>> iterator = deadSinceMs.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<VmId, Long> entry = iterator.next();
      if (nowMs - entry.getValue() >= retentionMs) {
        evicted.add(entry.getKey());
        members.remove(entry.getKey());
        iterator.remove();
        version++;
      }
    }
    return evicted;
  }

  /** Returns the members on a page in order of their id; page numbers wrap around. */
  List<MemberDelta> page(int number, int length) {
    int pages = (members.size() + length - 1) / length;
    return members.values().stream()
        .skip((long) (number % pages) * length)
        .limit(length)
        .map(MemberTable::toDelta)
        .toList();
  }

  static MemberDelta toDelta(Member member) {
    return new MemberDelta(member.info(), member.incarnation(), member.state());
  }

  // SUSPECT counts as ALIVE: a suspicion ends within seconds, and including it would make digests
  // differ most of the time.
  private static long digestOf(Member member) {
    if (member == null || member.state() == MemberState.DEAD) {
      return 0;
    }
    long leaving = member.state() == MemberState.LEAVING ? 1 : 0;
    long stateHash = Hashing.mix(2 * member.incarnation() + leaving);
    return Hashing.mix(Hashing.fnv1a64(member.info().vm().value()) ^ stateHash);
  }
}
