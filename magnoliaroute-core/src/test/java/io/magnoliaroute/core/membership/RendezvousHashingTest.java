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

final class RendezvousHashingTest {

  private static final int VM_COUNT = 21;
  private static final int KEY_COUNT = 20_000;

  /** Guards against a hash that assigns many more keys to one VM than to another. */
  @Test
  void keysAreSpreadEvenly() {
    Map<VmId, Integer> counts = new HashMap<>();
    for (int key = 0; key < KEY_COUNT; key++) {
      counts.merge(
          RendezvousHashing.owner(RendezvousHashing.partitionKey(key), vms(VM_COUNT)),
          1,
          Integer::sum);
    }
    double mean = (double) KEY_COUNT / VM_COUNT;
    assertEquals(VM_COUNT, counts.size());
    counts.forEach(
        (vm, count) -> assertTrue(Math.abs(count - mean) < 0.15 * mean, vm + " owns " + count));
  }

  /** Guards against a join or leave that moves keys between the remaining VMs. */
  @Test
  void aJoinOrLeaveMovesOnlyKeysOfThatVm() {
    List<VmId> withChanged = vms(VM_COUNT);
    VmId changed = withChanged.get(7);
    List<VmId> withoutChanged = new ArrayList<>(withChanged);
    withoutChanged.remove(changed);
    int moved = 0;
    for (int key = 0; key < KEY_COUNT; key++) {
      VmId owner = RendezvousHashing.owner(RendezvousHashing.groupKey("pool/" + key), withChanged);
      VmId other =
          RendezvousHashing.owner(RendezvousHashing.groupKey("pool/" + key), withoutChanged);
      moved += owner.equals(other) ? 0 : 1;
      assertTrue(owner.equals(other) || owner.equals(changed), "key " + key + " moved");
    }
    assertTrue(moved < 1.15 * KEY_COUNT / VM_COUNT, "moved " + moved);
  }

  /**
   * Guards against two VMs that choose different owners because they list the VMs in another order.
   */
  @Test
  void theOrderOfTheVmsDoesNotMatter() {
    List<VmId> shuffled = vms(VM_COUNT);
    Collections.shuffle(shuffled, new Random(1));
    for (int key = 0; key < 100; key++) {
      String name = RendezvousHashing.sliceKey("team-" + key);
      assertEquals(
          RendezvousHashing.owner(name, vms(VM_COUNT)), RendezvousHashing.owner(name, shuffled));
    }
  }

  /** Guards against a null owner when no VM is eligible. */
  @Test
  void anEmptyVmListIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> RendezvousHashing.owner("key", List.of()));
  }

  private static List<VmId> vms(int count) {
    List<VmId> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add(new VmId("vm-" + i));
    }
    return vms;
  }
}
