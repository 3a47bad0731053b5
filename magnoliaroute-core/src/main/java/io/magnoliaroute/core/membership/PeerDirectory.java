package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Peers known by name only: from the process settings and from the platform's list. */
final class PeerDirectory {

  private static final long NO_LIST = -1;

  private final Map<VmId, PeerAddress> seeds = new LinkedHashMap<>();
  private final Map<VmId, PeerAddress> listed = new LinkedHashMap<>();
  private final Set<VmId> leaving = new LinkedHashSet<>();
  private long listVersion = NO_LIST;
  private long newestHeardVersion = NO_LIST;

  void addSeed(VmId vm, PeerAddress address) {
    seeds.put(vm, address);
  }

  /** Takes in the list if it is newer than the last and returns whether it was. */
  boolean apply(PlatformList list) {
    if (list.version() <= listVersion) {
      return false;
    }
    listVersion = list.version();
    heardOf(listVersion);
    listed.clear();
    leaving.clear();
    for (PlatformList.PlatformVm vm : list.vms()) {
      listed.put(vm.vm(), vm.address());
      if (vm.leaving()) {
        leaving.add(vm.vm());
      }
    }
    return true;
  }

  /** Returns the VMs that the newest list marks as leaving. */
  Set<VmId> leaving() {
    return leaving;
  }

  /** Takes in the list version that a peer has or heard of. */
  void heardOf(long version) {
    newestHeardVersion = Math.max(newestHeardVersion, version);
  }

  /** Returns the newest list version that any message or list had, or -1. */
  long newestHeardVersion() {
    return newestHeardVersion;
  }

  /**
   * Returns whether the list held here names the VM as live and no peer has a newer one. Only then
   * may the VM lift a leaving mark, as the mark may come from the newer list.
   */
  boolean isListedLiveInNewest(VmId vm) {
    return listVersion == newestHeardVersion && listed.containsKey(vm) && !leaving.contains(vm);
  }

  Optional<PeerAddress> address(VmId vm) {
    PeerAddress address = listed.get(vm);
    return Optional.ofNullable(address != null ? address : seeds.get(vm));
  }

  /** Returns the VMs that are dead or known by name only. */
  List<VmId> absent(MemberTable table) {
    Set<VmId> absent = new LinkedHashSet<>(listed.keySet());
    absent.addAll(seeds.keySet());
    absent.removeIf(vm -> table.get(vm).isPresent());
    absent.addAll(table.ids(member -> member.state() == MemberState.DEAD));
    return new ArrayList<>(absent);
  }

  /** Returns whether the VM is dead or known by name only. */
  boolean isAbsent(VmId vm, MemberTable table) {
    boolean named = seeds.containsKey(vm) || listed.containsKey(vm);
    return table.get(vm).map(member -> member.state() == MemberState.DEAD).orElse(named);
  }
}
