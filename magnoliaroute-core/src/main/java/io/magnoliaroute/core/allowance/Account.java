package io.magnoliaroute.core.allowance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What a holder knows of one program's budget. Tokens count as granted once a record says so, and
 * as used once a turn has reserved them.
 */
final class Account {

  long budget;
  long maxTurnTokens;
  long granted;
  long ownGranted;

  /** Tokens of the own slices that cannot be used any more if the pending release succeeds. */
  long releasing;

  long ownUsed;
  long ownReservedAtMs;
  long reportedUsed;
  boolean sliceNeeded;
  String lastGranter = "";

  /** The last other holder that was granted a slice and has not released it since. */
  String otherHolder = "";

  final Map<String, ReportedUse> unrecordedByHolder = new HashMap<>();
  final Set<String> endedHolders = new HashSet<>();
  long lastUsedAtMs;

  boolean isLarge() {
    return budget >= AllowancePartition.LARGE_BUDGET_TURNS * maxTurnTokens;
  }

  long offlineLimit(long turnTokens, int deciders) {
    long minimum = AllowancePartition.OFFLINE_TURNS * turnTokens;
    if (!isLarge()) {
      return minimum;
    }
    long limit = budget / AllowancePartition.OFFLINE_BUDGET_DIVISOR;
    if (deciders > 1) {
      limit = Math.min(limit, ungranted() / deciders);
    }
    return Math.max(minimum, limit);
  }

  long nextSliceTokens() {
    long regular =
        Math.max(
            AllowancePartition.MIN_SLICE_TURNS * maxTurnTokens,
            budget / AllowancePartition.SLICES_PER_BUDGET);
    long unrecordedUse = Math.min(ungranted(), ownUnrecorded());
    return Math.max(unrecordedUse, Math.min(availableTokens(), regular));
  }

  long ownUnrecorded() {
    return Math.max(0, ownUsed - ownGranted);
  }

  long usedTokens() {
    return Math.max(knownUse(), reportedUsed);
  }

  long knownUse() {
    return granted - ownGranted + ownUsed + unrecordedByOthers();
  }

  long ungranted() {
    return budget - granted;
  }

  long unrecordedByOthers() {
    long sum = 0;
    for (ReportedUse each : unrecordedByHolder.values()) {
      sum += each.unrecordedTokens();
    }
    return sum;
  }

  long availableTokens() {
    return ungranted() - unrecordedByOthers();
  }

  long unspentTokens() {
    return ownGranted - ownUsed;
  }

  boolean reserveOwn(long turnTokens, long nowMs) {
    if (ownUsed + turnTokens > ownGranted - releasing) {
      return false;
    }
    ownUsed += turnTokens;
    ownReservedAtMs = nowMs;
    return true;
  }
}
