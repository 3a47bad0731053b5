package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Determines the home VMs of a partition. */
public final class HomeVms {

  /** VMs that hold the records of a partition. */
  public static final int COUNT = 2;

  /** The version of the protocol between VMs that has the messages of kept turns. */
  public static final int MIN_PROTOCOL = 2;

  private static final String RENDEZVOUS_KEY_PREFIX = "turns/";

  private HomeVms() {}

  /**
   * Returns the VMs that can hold a partition in order of precedence: the first in rendezvous
   * order, the next one of another data centre, then all others. VMs of earlier builds, which do
   * not know the messages, are left out.
   */
  public static List<VmEntry> ranked(int partition, Collection<VmEntry> vms) {
    Map<VmId, VmEntry> candidates = new HashMap<>();
    for (VmEntry vm : vms) {
      if (vm.peerProtocol() >= MIN_PROTOCOL) {
        candidates.put(vm.vm(), vm);
      }
    }
    List<VmEntry> ranked = new ArrayList<>();
    for (VmId vm :
        RendezvousHashing.ranked(RENDEZVOUS_KEY_PREFIX + partition, candidates.keySet())) {
      ranked.add(candidates.get(vm));
    }
    for (int i = 2; i < ranked.size(); i++) {
      if (!ranked.get(1).dataCentre().equals(ranked.get(0).dataCentre())) {
        break;
      }
      if (!ranked.get(i).dataCentre().equals(ranked.get(0).dataCentre())) {
        ranked.add(1, ranked.remove(i));
      }
    }
    return ranked;
  }
}
