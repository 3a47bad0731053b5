package io.magnoliaroute.core.membership;

/**
 * Periods and bounds of membership.
 *
 * @param periodMs time between two probes of a kind
 * @param directTimeoutMs wait for the direct answer before indirect probes are sent
 * @param probeTimeoutMs wait for any answer before the VM is suspected
 * @param suspicionMs time to refute a suspicion; also the gap between ticks that counts as a pause
 * @param indirectProbes VMs that are asked to probe on this VM's behalf
 * @param absentProbePeriodMs time between two probes of VMs that are dead or only listed
 * @param syncPeriodMs time between two requests for a page of another table
 * @param fastSyncPeriodMs the same while tables are known to differ
 * @param maxDeltas reports piggybacked on one message
 * @param syncPageDeltas reports in a page of the table
 * @param deadRetentionMs time after which a dead VM is forgotten
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

  /** Rejects periods and bounds that are not positive or contradict one another. */
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
   * Returns the periods of the design page. Dead VMs are kept for two hours, because regions lose
   * contact for up to one hour and are found again by probing the dead.
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
