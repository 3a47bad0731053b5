package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.Collection;

/**
 * Determines when a VM writes a snapshot of an entry, so that usually only one VM does.
 *
 * <p>For each entry, the live VMs are ranked by hash. The VM of the first rank writes a snapshot
 * when the last one is a quarter of the retention old, and the VM of each further rank one step
 * later, unless it has read the snapshot of an earlier rank by then. The last step ends before half
 * of the retention.
 *
 * @param self this VM
 * @param retentionMs the retention time of the log
 */
public record SnapshotSchedule(VmId self, long retentionMs) {

  private static final int FIRST_RANK_DIVISOR = 4;
  private static final int STEP_DIVISOR = 32;
  private static final int MAX_STEP = 7;

  /** Rejects a retention that is too short to be divided into steps. */
  public SnapshotSchedule {
    if (retentionMs < STEP_DIVISOR) {
      throw new IllegalArgumentException(
          "retentionMs is too short to be divided into steps: " + retentionMs);
    }
  }

  /**
   * Returns whether this VM should write a snapshot of the entry now.
   *
   * @param key the key of the entry, by which the VMs are ranked
   * @param lastSnapshotMs the time of the last snapshot; {@link Long#MIN_VALUE} if there is none,
   *     which counts as an age of the whole retention
   * @param live the live VMs
   * @param nowMs the current time
   */
  public boolean isDue(String key, long lastSnapshotMs, Collection<VmId> live, long nowMs) {
    long ageMs = lastSnapshotMs == Long.MIN_VALUE ? retentionMs : nowMs - lastSnapshotMs;
    if (ageMs < retentionMs / FIRST_RANK_DIVISOR) {
      return false;
    }
    long step = Math.min(rank(key, live), MAX_STEP);
    return ageMs >= retentionMs / FIRST_RANK_DIVISOR + step * (retentionMs / STEP_DIVISOR);
  }

  /** Returns the rank of this VM for the key, from 0: the number of live VMs ranked before it. */
  public int rank(String key, Collection<VmId> live) {
    long own = Hashing.fnv1a64(key + '|' + self);
    int before = 0;
    for (VmId vm : live) {
      if (!vm.equals(self) && Hashing.fnv1a64(key + '|' + vm) < own) {
        before++;
      }
    }
    return before;
  }
}
