package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The VMs whose state has yet to be passed on. New changes are sent first, and each is sent a
 * limited number of times, so that the bytes spent end with the changes.
 */
final class DeltaQueue {

  /** Sends for each doubling of the number of VMs; 3 reaches all VMs at 20% message loss. */
  private static final int SENDS_PER_DOUBLING = 3;

  private final Deque<Slot> slots = new ArrayDeque<>();
  private final Set<VmId> queued = new HashSet<>();

  private record Slot(VmId vm, int sends) {}

  /** Returns how often a change is sent among the given number of VMs. */
  static int sendLimit(int vmCount) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, vmCount));
    return SENDS_PER_DOUBLING * doublings;
  }

  /** Queues a VM whose state has changed; one that is queued starts again. */
  void add(VmId vm) {
    remove(vm);
    queued.add(vm);
    slots.addFirst(new Slot(vm, 0));
  }

  void remove(VmId vm) {
    if (queued.remove(vm)) {
      slots.removeIf(slot -> slot.vm().equals(vm));
    }
  }

  /** Takes up to {@code max} VMs, those sent least often first, and counts them as sent. */
  List<VmId> take(int max, int sendLimit) {
    List<VmId> taken = new ArrayList<>(Math.min(max, slots.size()));
    int available = Math.min(max, slots.size());
    for (int i = 0; i < available; i++) {
      Slot slot = slots.removeFirst();
      taken.add(slot.vm());
      if (slot.sends() + 1 < sendLimit) {
        slots.addLast(new Slot(slot.vm(), slot.sends() + 1));
      } else {
        queued.remove(slot.vm());
      }
    }
    return taken;
  }

  int size() {
    return slots.size();
  }
}
