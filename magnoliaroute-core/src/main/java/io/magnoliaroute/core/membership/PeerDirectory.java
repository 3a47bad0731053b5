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

  private final Map<VmId, PeerAddress> seeds = new LinkedHashMap<>();
  private final Map<VmId, PeerAddress> listed = new LinkedHashMap<>();
  private final Set<VmId> leaving = new LinkedHashSet<>();
  private long listVersion = Long.MIN_VALUE;

  void addSeed(VmId vm, PeerAddress address) {
    seeds.put(vm, address);
  }

  /** Takes in the list if it is newer than the last and returns whether it was. */
  boolean apply(PlatformList list) {
    if (list.version() <= listVersion) {
      return false;
    }
    listVersion = list.version();
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

  /** Returns whether the newest list names the VM and does not mark it as leaving. */
  boolean isListedLive(VmId vm) {
    return listed.containsKey(vm) && !leaving.contains(vm);
  }

  boolean contains(VmId vm) {
    return seeds.containsKey(vm) || listed.containsKey(vm);
  }

  Optional<PeerAddress> address(VmId vm) {
    PeerAddress address = listed.get(vm);
    return Optional.ofNullable(address != null ? address : seeds.get(vm));
  }

  List<VmId> vms() {
    Set<VmId> vms = new LinkedHashSet<>(listed.keySet());
    vms.addAll(seeds.keySet());
    return new ArrayList<>(vms);
  }
}
