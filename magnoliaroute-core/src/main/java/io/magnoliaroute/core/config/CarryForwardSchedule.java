package io.magnoliaroute.core.config;

import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import java.util.Collection;

/**
 * Says when a VM carries an entry forward so that usually only one VM does.
 *
 * <p>Live VMs are ranked for each entry by hash. The first rank acts after a quarter of the
 * retention, and each further rank one step later. It does nothing if it has read the record of an
 * earlier rank by then. The last step is before half of the retention.
 *
 * @param self this VM
 * @param retentionMs how long the log keeps a record
 */
public record CarryForwardSchedule(VmId self, long retentionMs) {

  private static final int FIRST_DIVISOR = 4;
  private static final int STEP_DIVISOR = 32;
  private static final int LAST_STEP = 7;

  /** Rejects a retention too short to have steps. */
  public CarryForwardSchedule {
    if (retentionMs < STEP_DIVISOR) {
      throw new IllegalArgumentException("retentionMs is too short: " + retentionMs);
    }
  }

  /** Returns whether this VM should carry the entry forward now. */
  public boolean due(String key, long carriedMs, Collection<VmId> live, long nowMs) {
    long ageMs = carriedMs == Long.MIN_VALUE ? retentionMs : nowMs - carriedMs;
    if (ageMs < retentionMs / FIRST_DIVISOR) {
      return false;
    }
    long step = Math.min(rank(key, live), LAST_STEP);
    return ageMs >= retentionMs / FIRST_DIVISOR + step * (retentionMs / STEP_DIVISOR);
  }

  /** Returns how many live VMs come before this one for the key. */
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
