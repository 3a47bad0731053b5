package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reclaims slices held by VMs that are not live or by earlier incarnations of this VM.
 *
 * <p>A reclaim is safe even while the holder is running, because opened units stay committed. The
 * grace period and the ranking of VMs only keep several VMs from writing the same record.
 */
public final class SliceReclaimer {

  private final VmId vm;
  private final String writer;
  private final long graceMs;
  private final long staggerMs;
  private final Map<String, Long> abandonedSinceMs = new HashMap<>();
  private long nextRecord = 1;

  /**
   * Creates a reclaimer.
   *
   * @param vm this VM
   * @param writer the incarnation of this VM, as given to its {@link BudgetHolder}
   * @param graceMs the time that a holder must not be live before its slices are reclaimed
   * @param staggerMs the additional delay for each VM that ranks before this one
   */
  public SliceReclaimer(VmId vm, String writer, long graceMs, long staggerMs) {
    this.vm = vm;
    this.writer = writer;
    this.graceMs = graceMs;
    this.staggerMs = staggerMs;
  }

  /** Returns the reclaim records to append now. */
  public List<BudgetRecord> poll(BudgetAccounts accounts, Collection<VmId> live, long nowMs) {
    if (!accounts.isCaughtUp()) {
      return List.of();
    }
    List<BudgetRecord> records = new ArrayList<>();
    Map<String, Long> stillAbandoned = new HashMap<>();
    for (LiveSlice held : accounts.liveSlices()) {
      String slice = held.state().slice();
      if (!isAbandoned(held.state(), live) || nowMs >= held.period().endMs()) {
        continue;
      }
      long sinceMs = abandonedSinceMs.getOrDefault(slice, nowMs);
      if (nowMs - sinceMs >= reclaimDelayMs(held.state(), live)) {
        records.add(reclaim(held));
        // Restarts the delay, in case the append is lost.
        sinceMs = nowMs;
      }
      stillAbandoned.put(slice, sinceMs);
    }
    abandonedSinceMs.clear();
    abandonedSinceMs.putAll(stillAbandoned);
    return records;
  }

  private boolean isAbandoned(SliceState state, Collection<VmId> live) {
    if (state.vm().equals(vm)) {
      return !state.slice().startsWith(writer + "/");
    }
    return !live.contains(state.vm());
  }

  private long reclaimDelayMs(SliceState state, Collection<VmId> live) {
    if (state.vm().equals(vm)) {
      return 0;
    }
    long own = Hashing.fnv1a64(state.slice() + '|' + vm);
    long rank =
        live.stream().filter(other -> Hashing.fnv1a64(state.slice() + '|' + other) < own).count();
    return graceMs + rank * staggerMs;
  }

  private BudgetRecord reclaim(LiveSlice held) {
    String id = writer + "/reclaim/" + nextRecord++;
    return new BudgetRecord.SliceReclaimed(id, held.team(), held.period(), held.state().slice());
  }
}
