package io.magnoliaroute.core.membership;

/**
 * Periods and limits of the membership protocol.
 *
 * @param periodMs interval between two probes of the same kind
 * @param directTimeoutMs time to wait for a direct ack before indirect probes are sent
 * @param probeTimeoutMs time to wait for any ack before the VM is suspected
 * @param suspicionMs time that a VM has to refute a suspicion; also the gap between ticks above
 *     which this VM counts as paused
 * @param indirectProbes number of VMs that are asked to probe on this VM's behalf
 * @param absentProbePeriodMs interval between two probes of VMs that are dead or not yet in the
 *     table
 * @param syncPeriodMs interval between two requests for a page of another VM's table
 * @param fastSyncPeriodMs the same interval while tables are known to differ
 * @param maxDeltas maximum number of queued deltas piggybacked on one message
 * @param syncPageDeltas number of deltas in a page of the table
 * @param deadRetentionMs time after which a dead VM is evicted from the table
 */
public record MembershipSettings(
    long periodMs,
    long directTimeoutMs,
    long probeTimeoutMs,
    long suspicionMs,
    int indirectProbes,
    long absentProbePeriodMs,
    long syncPeriodMs,
    long fastSyncPeriodMs,
    int maxDeltas,
    int syncPageDeltas,
    long deadRetentionMs) {

  private static final long HOUR_MS = 3_600_000;

  /** Rejects periods and limits that are not positive or contradict one another. */
  public MembershipSettings {
    requirePositive("periodMs", periodMs);
    requirePositive("directTimeoutMs", directTimeoutMs);
    requirePositive("suspicionMs", suspicionMs);
    requirePositive("absentProbePeriodMs", absentProbePeriodMs);
    requirePositive("syncPeriodMs", syncPeriodMs);
    requirePositive("fastSyncPeriodMs", fastSyncPeriodMs);
    requirePositive("maxDeltas", maxDeltas);
    requirePositive("syncPageDeltas", syncPageDeltas);
    requirePositive("deadRetentionMs", deadRetentionMs);
    if (probeTimeoutMs <= directTimeoutMs) {
      throw new IllegalArgumentException(
          "probeTimeoutMs must exceed directTimeoutMs, was " + probeTimeoutMs);
    }
    if (maxDeltas + syncPageDeltas + 2 > Gossip.MAX_DELTAS) {
      throw new IllegalArgumentException(
          "maxDeltas and syncPageDeltas do not fit in one message: "
              + maxDeltas
              + ", "
              + syncPageDeltas);
    }
  }

  /**
   * Returns the values that the design specifies. Dead VMs are kept for two hours, because regions
   * can be disconnected for up to one hour and are rediscovered by probing dead VMs.
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(500, 200, 500, 2_000, 2, 1_000, 10_000, 500, 12, 64, 2 * HOUR_MS);
  }

  private static void requirePositive(String name, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(name + " must be positive, was " + value);
    }
  }
}
