package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.RegionId;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** An immutable snapshot of the table of VMs, including this VM. */
public final class MembershipView {

  private final VmId self;
  private final long version;
  private final Map<VmId, Member> members;

  MembershipView(VmId self, long version, Map<VmId, Member> members) {
    this.self = self;
    this.version = version;
    this.members = new TreeMap<>(members);
  }

  /** Returns this VM. */
  public VmId self() {
    return self;
  }

  /** Returns a number that grows with each change; the same number means the same content. */
  public long version() {
    return version;
  }

  /** Returns the incarnation of this VM. */
  public long selfIncarnation() {
    return Objects.requireNonNull(members.get(self), "self").incarnation();
  }

  /** Returns every VM of the table in order of its id, dead ones included. */
  public List<Member> members() {
    return List.copyOf(members.values());
  }

  /** Returns what is held of a VM, or nothing if it is not in the table. */
  public Optional<Member> member(VmId vm) {
    return Optional.ofNullable(members.get(vm));
  }

  /** Returns whether the VM is in the table and alive. */
  public boolean isAlive(VmId vm) {
    return member(vm).filter(m -> m.state() == MemberState.ALIVE).isPresent();
  }

  /** Returns the VMs that may own state, in order of their id. */
  public List<VmId> owners() {
    return owners(member -> true);
  }

  /** Returns the VMs of a region that may own state, in order of their id. */
  public List<VmId> owners(RegionId region) {
    return owners(member -> member.info().region().equals(region));
  }

  /**
   * Returns the VMs that may own state and pass the filter, in order of their id. The filter may
   * leave out VMs of other regions or those that cannot reach what is to be owned.
   */
  public List<VmId> owners(Predicate<Member> eligible) {
    List<VmId> result = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.state().mayOwn() && eligible.test(member)) {
        result.add(member.info().vm());
      }
    }
    return result;
  }

  /** Returns the owner of the key among the VMs of the region, or nothing if none may own. */
  public Optional<VmId> owner(String key, RegionId region) {
    return owner(key, member -> member.info().region().equals(region));
  }

  /** Returns the owner of the key among the VMs that pass the filter. */
  public Optional<VmId> owner(String key, Predicate<Member> eligible) {
    List<VmId> owners = owners(eligible);
    return owners.isEmpty() ? Optional.empty() : Optional.of(Rendezvous.owner(key, owners));
  }
}
