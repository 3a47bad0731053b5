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

  /**
   * Returns the version of the table, which increases with each change; equal versions mean equal
   * content.
   */
  public long version() {
    return version;
  }

  /** Returns the incarnation of this VM. */
  public long selfIncarnation() {
    return Objects.requireNonNull(members.get(self), "self").incarnation();
  }

  /** Returns all VMs of the table, including dead ones, in order of their id. */
  public List<Member> members() {
    return List.copyOf(members.values());
  }

  /** Returns the entry of a VM, or empty if it is not in the table. */
  public Optional<Member> member(VmId vm) {
    return Optional.ofNullable(members.get(vm));
  }

  /** Returns whether the VM is in the table and alive. */
  public boolean isAlive(VmId vm) {
    return member(vm).filter(member -> member.state() == MemberState.ALIVE).isPresent();
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
   * Returns the VMs that may own state and match the filter, in order of their id. The filter may
   * exclude VMs of other regions or VMs that cannot reach the resource to be owned.
   */
  public List<VmId> owners(Predicate<Member> eligible) {
    List<VmId> owners = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.state().mayOwn() && eligible.test(member)) {
        owners.add(member.info().vm());
      }
    }
    return owners;
  }

  /** Returns the owner of the key among the VMs of the region, or empty if no VM may own it. */
  public Optional<VmId> owner(String key, RegionId region) {
    return owner(key, member -> member.info().region().equals(region));
  }

  /**
   * Returns the owner of the key among the VMs that match the filter, or empty if none may own it.
   */
  public Optional<VmId> owner(String key, Predicate<Member> eligible) {
    List<VmId> owners = owners(eligible);
    return owners.isEmpty() ? Optional.empty() : Optional.of(RendezvousHashing.owner(key, owners));
  }
}
