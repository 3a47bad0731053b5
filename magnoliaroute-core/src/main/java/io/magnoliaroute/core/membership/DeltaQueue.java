package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Queue of the VMs whose state changes are still to be gossiped. New changes are sent first, and
 * each change is sent a limited number of times, so that no deltas are sent once all changes have
 * been propagated.
 */
final class DeltaQueue {

  /**
   * Sends per doubling of the number of VMs; with 3, a change reaches all VMs at 20% message loss.
   */
  private static final int SENDS_PER_DOUBLING = 3;

  private final Deque<QueuedVm> entries = new ArrayDeque<>();
  private final Set<VmId> queued = new HashSet<>();

  private record QueuedVm(VmId vm, int sends) {}

  /** Returns how often a change is sent in a cluster of the given number of VMs. */
  static int sendLimit(int vmCount) {
    int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, vmCount));
    return SENDS_PER_DOUBLING * doublings;
  }

  /** Queues a VM whose state has changed; if it is already queued, its send count restarts at 0. */
  void add(VmId vm) {
    remove(vm);
    queued.add(vm);
    entries.addFirst(new QueuedVm(vm, 0));
  }

  void remove(VmId vm) {
    if (queued.remove(vm)) {
      entries.removeIf(entry -> entry.vm().equals(vm));
    }
  }

  /**
   * Returns up to {@code max} VMs, those sent least often first, and increments their send counts.
   * VMs whose count reaches {@code sendLimit} are removed from the queue.
   */
  List<VmId> take(int max, int sendLimit) {
    List<VmId> taken = new ArrayList<>(Math.min(max, entries.size()));
    int available = Math.min(max, entries.size());
    for (int i = 0; i < available; i++) {
      QueuedVm entry = entries.removeFirst();
      taken.add(entry.vm());
      if (entry.sends() + 1 < sendLimit) {
        entries.addLast(new QueuedVm(entry.vm(), entry.sends() + 1));
      } else {
        queued.remove(entry.vm());
      }
    }
    return taken;
  }

  int size() {
    return entries.size();
  }
}
