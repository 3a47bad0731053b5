package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which VMs issue the permits of a workspace: rendezvous order, strong VMs first. Not
 * thread-safe; confined to one event loop.
 */
final class IssuerOrder {

  private static final String KEY_PREFIX = "workspace-quota/";

  /**
   * Share of the strongest VM's processor from which a VM counts as strong. Without this rule, a VM
   * with a quarter of a core may decide on a third of all requests.
   */
  private static final double STRONG_SHARE = 0.5;

  /** Limit of the kept orders; more than there are workspaces at present. */
  private static final int MAX_ORDERS = 512;

  private final List<VmId> strong = new ArrayList<>();
  private final List<VmId> others = new ArrayList<>();
  private final Map<String, List<VmId>> orders = new HashMap<>();

  void setMembers(Collection<VmEntry> vms) {
    strong.clear();
    others.clear();
    orders.clear();
    double maxCores = vms.stream().mapToDouble(VmEntry::cpuCores).max().orElse(0);
    for (VmEntry vm : vms) {
      (vm.cpuCores() >= STRONG_SHARE * maxCores ? strong : others).add(vm.vm());
    }
  }

  List<VmId> of(String workspace) {
    List<VmId> known = orders.get(workspace);
    if (known != null) {
      return known;
    }
    if (orders.size() >= MAX_ORDERS) {
      orders.clear();
    }
    List<VmId> order = new ArrayList<>(RendezvousHashing.ranked(KEY_PREFIX + workspace, strong));
    order.addAll(RendezvousHashing.ranked(KEY_PREFIX + workspace, others));
    orders.put(workspace, order);
    return order;
  }
}
