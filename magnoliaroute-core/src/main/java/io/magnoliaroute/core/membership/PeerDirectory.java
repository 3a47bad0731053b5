package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Peers named in the process settings or in the platform's VM list, whether or not they are known
 * to run.
 */
final class PeerDirectory {

  private static final long NO_VERSION = -1;

  private final Map<VmId, PeerAddress> seeds = new LinkedHashMap<>();
  private final Map<VmId, PeerAddress> listed = new LinkedHashMap<>();
  private final Set<VmId> leaving = new LinkedHashSet<>();
  private long listVersion = NO_VERSION;
  private long newestKnownVersion = NO_VERSION;

  void addSeed(VmId vm, PeerAddress address) {
    seeds.put(vm, address);
  }

  /** Applies the list if it is newer than the last one, and returns whether it was. */
  boolean apply(PlatformList list) {
    if (list.version() <= listVersion) {
      return false;
    }
    listVersion = list.version();
    recordListVersion(listVersion);
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

  /** Returns the VMs that the last applied list marks as leaving. */
  Set<VmId> leaving() {
    return leaving;
  }

  /** Records the newest list version that a peer reports. */
  void recordListVersion(long version) {
    newestKnownVersion = Math.max(newestKnownVersion, version);
  }

  /** Returns the newest list version known from a list or from gossip, or -1 if none is known. */
  long newestKnownVersion() {
    return newestKnownVersion;
  }

  /**
   * Returns whether the last applied list names the VM as not leaving and no newer version is known
   * from gossip. Only then may the VM clear a leaving mark, because the mark may come from the
   * newer list.
   */
  boolean isActiveInNewestList(VmId vm) {
    return listVersion == newestKnownVersion && listed.containsKey(vm) && !leaving.contains(vm);
  }

  Optional<PeerAddress> address(VmId vm) {
    PeerAddress address = listed.get(vm);
    return Optional.ofNullable(address != null ? address : seeds.get(vm));
  }

  /** Returns the VMs that are dead, and those that are named but not in the table. */
  List<VmId> absentVms(MemberTable table) {
    Set<VmId> absent = new LinkedHashSet<>(listed.keySet());
    absent.addAll(seeds.keySet());
    absent.removeIf(vm -> table.get(vm).isPresent());
    absent.addAll(table.ids(member -> member.state() == MemberState.DEAD));
    return new ArrayList<>(absent);
  }

  /** Returns whether the VM is dead, or named but not in the table. */
  boolean isAbsent(VmId vm, MemberTable table) {
    boolean named = seeds.containsKey(vm) || listed.containsKey(vm);
    return table.get(vm).map(member -> member.state() == MemberState.DEAD).orElse(named);
  }
}
