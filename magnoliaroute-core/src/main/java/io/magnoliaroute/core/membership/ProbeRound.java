package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Goes through a set of VMs in shuffled rounds. With m VMs, at most 2m - 1 steps lie between two
 * visits of one VM, which bounds the time to detect a crash.
 */
final class ProbeRound {

  private final Deque<VmId> remaining = new ArrayDeque<>();
  private final RandomGenerator random;

  ProbeRound(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the next VM that is still eligible, or nothing if there is none. */
  Optional<VmId> next(Supplier<List<VmId>> candidates, Predicate<VmId> eligible) {
    Optional<VmId> found = nextOfRound(eligible);
    if (found.isPresent()) {
      return found;
    }
    List<VmId> refill = new ArrayList<>(candidates.get());
    shuffle(refill);
    remaining.addAll(refill);
    return nextOfRound(eligible);
  }

  private Optional<VmId> nextOfRound(Predicate<VmId> eligible) {
    while (!remaining.isEmpty()) {
      VmId vm = remaining.removeFirst();
      if (eligible.test(vm)) {
        return Optional.of(vm);
      }
    }
    return Optional.empty();
  }

  // Collections.shuffle takes a RandomGenerator only from Java 21 on.
  private void shuffle(List<VmId> vms) {
    for (int i = vms.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      VmId moved = vms.get(i);
      vms.set(i, vms.get(j));
      vms.set(j, moved);
    }
  }
}
