package io.magnoliaroute.core.membership;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses owners by rendezvous hashing: the VM with the highest hash of key and VM id owns the key.
 * When a VM joins or leaves, only the keys that it gains or loses move.
 */
public final class RendezvousHashing {

  private RendezvousHashing() {}

  /**
   * Returns the owner of the key. The result does not depend on the order of the VMs.
   *
   * @throws IllegalArgumentException if {@code live} is empty
   */
  public static VmId owner(String key, Collection<VmId> live) {
    if (live.isEmpty()) {
      throw new IllegalArgumentException("no live VM available to own key '" + key + "'");
    }
    long keyHash = Hashing.fnv1a64(key);
    VmId best = null;
    long bestScore = 0;
    for (VmId vm : live) {
      long score = score(keyHash, vm);
      if (best == null || isHigherRanked(score, vm, bestScore, best)) {
        best = vm;
        bestScore = score;
      }
    }
    return best;
  }

  /** Returns the VMs in the order of precedence for ownership of the key, the owner first. */
  public static List<VmId> ranked(String key, Collection<VmId> live) {
    long keyHash = Hashing.fnv1a64(key);
    List<ScoredVm> scored = new ArrayList<>(live.size());
    for (VmId vm : live) {
      scored.add(new ScoredVm(vm, score(keyHash, vm)));
    }
    scored.sort(
        Comparator.comparing(ScoredVm::score, Long::compareUnsigned)
            .reversed()
            .thenComparing(ScoredVm::vm));
    List<VmId> ranked = new ArrayList<>(scored.size());
    for (ScoredVm entry : scored) {
      ranked.add(entry.vm());
    }
    return ranked;
  }

  private record ScoredVm(VmId vm, long score) {}

  /** Returns the key of a partition of program budgets. */
  public static String allowanceKey(int partition) {
    return "allowance/" + partition;
  }

  /** Returns the key of an endpoint group. */
  public static String groupKey(String groupName) {
    return "group/" + groupName;
  }

  /** Returns the key of a program partition. */
  public static String partitionKey(int partition) {
    return "partition/" + partition;
  }

  /** Returns the key whose owner requests a team's budget slices on behalf of other VMs. */
  public static String sliceKey(String teamName) {
    return "slice/" + teamName;
  }

  private static long score(long keyHash, VmId vm) {
    return Hashing.mix(keyHash ^ Hashing.fnv1a64(vm.value()));
  }

  private static boolean isHigherRanked(long score, VmId vm, long bestScore, VmId best) {
    int order = Long.compareUnsigned(score, bestScore);
    return order != 0 ? order > 0 : vm.compareTo(best) < 0;
  }
}
