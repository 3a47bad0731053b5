package io.magnoliaroute.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RendezvousTest {

  private static final int VMS = 21;
  private static final int KEYS = 20_000;

  /** Guards against a hash that assigns many more keys to one VM than to another. */
  @Test
  void keysAreSpreadEvenly() {
    Map<VmId, Integer> counts = new HashMap<>();
    for (int key = 0; key < KEYS; key++) {
      counts.merge(Rendezvous.owner(Rendezvous.partitionKey(key), vms(VMS)), 1, Integer::sum);
    }
    double mean = (double) KEYS / VMS;
    assertEquals(VMS, counts.size());
    counts.forEach(
        (vm, count) -> assertTrue(Math.abs(count - mean) < 0.15 * mean, vm + " owns " + count));
  }

  /** Guards against a join or leave that moves keys between the remaining VMs. */
  @Test
  void onlyKeysOfTheVmThatJoinsOrLeavesMove() {
    List<VmId> withChanged = vms(VMS);
    VmId changed = withChanged.get(7);
    List<VmId> withoutChanged = new ArrayList<>(withChanged);
    withoutChanged.remove(changed);
    int moved = 0;
    for (int key = 0; key < KEYS; key++) {
      VmId owner = Rendezvous.owner(Rendezvous.groupKey("pool/" + key), withChanged);
      VmId other = Rendezvous.owner(Rendezvous.groupKey("pool/" + key), withoutChanged);
      moved += owner.equals(other) ? 0 : 1;
      assertTrue(owner.equals(other) || owner.equals(changed), "key " + key + " moved");
    }
    assertTrue(moved < 1.15 * KEYS / VMS, "moved " + moved);
  }

  /**
   * Guards against two VMs that choose different owners because they list the VMs in another order.
   */
  @Test
  void theOrderOfTheVmsDoesNotMatter() {
    List<VmId> shuffled = vms(VMS);
    Collections.shuffle(shuffled, new Random(1));
    for (int key = 0; key < 100; key++) {
      String name = Rendezvous.sliceKey("team-" + key);
      assertEquals(Rendezvous.owner(name, vms(VMS)), Rendezvous.owner(name, shuffled));
    }
  }

  /** Guards against a null owner when no VM is eligible. */
  @Test
  void noVmIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> Rendezvous.owner("key", List.of()));
  }

  private static List<VmId> vms(int count) {
    List<VmId> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add(new VmId("vm-" + i));
    }
    return vms;
  }
}
