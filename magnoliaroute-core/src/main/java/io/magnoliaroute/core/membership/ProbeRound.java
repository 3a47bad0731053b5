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
 * Selects VMs for probing in shuffled rounds. With m VMs, a VM is selected again after at most 2m -
 * 1 steps, which bounds the time to detect a crash.
 */
final class ProbeRound {

  private final Deque<VmId> remaining = new ArrayDeque<>();
  private final RandomGenerator random;

  ProbeRound(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the next eligible VM, or empty if there is none. Starts a new round from the candidates
   * when no eligible VM remains in the current one.
   */
  Optional<VmId> next(Supplier<List<VmId>> candidates, Predicate<VmId> eligible) {
    Optional<VmId> found = nextInRound(eligible);
    if (found.isPresent()) {
      return found;
    }
    List<VmId> round = new ArrayList<>(candidates.get());
    shuffle(round);
    remaining.addAll(round);
    return nextInRound(eligible);
  }

  private Optional<VmId> nextInRound(Predicate<VmId> eligible) {
    while (!remaining.isEmpty()) {
      VmId vm = remaining.removeFirst();
      if (eligible.test(vm)) {
        return Optional.of(vm);
      }
    }
    return Optional.empty();
  }

  // Collections.shuffle accepts a RandomGenerator only since Java 21.
  private void shuffle(List<VmId> vms) {
    for (int i = vms.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      VmId swapped = vms.get(i);
      vms.set(i, vms.get(j));
      vms.set(j, swapped);
    }
  }
}
