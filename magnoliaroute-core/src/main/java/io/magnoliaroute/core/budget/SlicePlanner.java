package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Plans, for one point in time, which slices to request, open further and release. */
final class SlicePlanner {

  /**
   * Limits the usual grant to the remaining budget divided by this and by the number of live slices
   * plus one.
   */
  private static final int REMAINING_DIVISOR = 4;

  private static final int GROWTH_FACTOR = 2;

  private final VmId vm;
  private final BudgetAccounts accounts;
  private final BudgetHolderLimits limits;
  private final Supplier<String> recordIds;
  private final long nowMs;

  SlicePlanner(
      VmId vm,
      BudgetAccounts accounts,
      BudgetHolderLimits limits,
      Supplier<String> recordIds,
      long nowMs) {
    this.vm = vm;
    this.accounts = accounts;
    this.limits = limits;
    this.recordIds = recordIds;
    this.nowMs = nowMs;
  }

  /** Adds the records to append for one team. */
  void plan(TeamHolding holding, boolean stopping, List<BudgetRecord> records) {
    holding.removeEndedSlices(nowMs);
    resend(holding, records);
    for (LocalSlice slice : holding.slices.values()) {
      release(holding, slice, stopping, records);
    }
    if (stopping || holding.settings == null) {
      return;
    }
    BudgetPeriod period = BudgetPeriod.at(nowMs, holding.settings.periodMs());
    if (!accounts.isComplete(holding.team, period)) {
      return;
    }
    holding.unmetDemand.expire(nowMs, limits.demandExpiryMs());
    long wanted = wantedUnits(holding, obtainableUnits(holding, period));
    if (wanted <= holding.availableUnits(period)) {
      return;
    }
    open(holding, period, wanted, records);
    grant(holding, period, wanted, records);
  }

  /** Returns the units obtainable from this VM's slices and the remaining budget. */
  private long obtainableUnits(TeamHolding holding, BudgetPeriod period) {
    long budget = holding.settings.unitsPerPeriod();
    long remaining = accounts.remainingUnits(holding.team, period, budget);
    return holding.availableUnits(period) + holding.unopenedUnits(period) + Math.max(0, remaining);
  }

  /**
   * Returns the units that should be available, either for refused calls that may be retried or in
   * advance of the next call.
   */
  private long wantedUnits(TeamHolding holding, long obtainableUnits) {
    boolean inUse =
        holding.lastReserveMs != Long.MIN_VALUE
            && nowMs - holding.lastReserveMs < limits.idleMs() / 2;
    long advanceUnits =
        inUse && holding.largestCallUnits <= obtainableUnits ? holding.largestCallUnits : 0;
    return Math.max(advanceUnits, holding.unmetDemand.largestAtMost(obtainableUnits));
  }

  private void open(
      TeamHolding holding, BudgetPeriod period, long wanted, List<BudgetRecord> records) {
    long missing = wanted - holding.availableUnits(period);
    for (LocalSlice slice : holding.slices.values()) {
      boolean usable = slice.period.equals(period) && slice.unopenedUnits() > 0;
      if (!usable || missing <= 0) {
        continue;
      }
      long target = slice.targetOpenedUnits(slice.availableUnits() + missing);
      missing -= target - slice.openedUnits;
      if (slice.pendingOpen != null || target <= slice.openedUnits) {
        continue;
      }
      BudgetRecord opened =
          new BudgetRecord.SliceOpened(recordIds.get(), holding.team, period, slice.id, target);
      slice.pendingOpen = new LocalSlice.PendingRecord(opened, nowMs);
      records.add(opened);
    }
  }

  private void grant(
      TeamHolding holding, BudgetPeriod period, long wanted, List<BudgetRecord> records) {
    long missing = wanted - holding.availableUnits(period) - holding.unopenedUnits(period);
    if (missing <= 0 || holding.pendingGrant != null) {
      return;
    }
    long budget = holding.settings.unitsPerPeriod();
    long remaining = accounts.remainingUnits(holding.team, period, budget);
    if (missing > remaining) {
      return;
    }
    long amount = Math.max(missing, usualGrantUnits(holding, period, remaining));
    long opened = Math.min(amount, Math.max(missing, LocalSlice.headroomUnits(amount)));
    String id = recordIds.get();
    BudgetRecord granted =
        new BudgetRecord.SliceGranted(
            id,
            holding.team,
            period,
            id,
            vm,
            amount,
            opened,
            budget,
            holding.settingsVersion,
            nowMs);
    holding.pendingGrant = new LocalSlice.PendingRecord(granted, nowMs);
    records.add(granted);
  }

  /**
   * Returns the size of the last slice, doubled if it was granted within the growth window, and
   * limited to this VM's share of the remaining budget.
   */
  private long usualGrantUnits(TeamHolding holding, BudgetPeriod period, long remaining) {
    boolean grantedRecently = nowMs - holding.lastGrantMs < limits.growthWindowMs();
    long desiredUnits = holding.lastAmountUnits * (grantedRecently ? GROWTH_FACTOR : 1);
    long shares = accounts.liveCount(holding.team, period) + 1L;
    return Math.min(desiredUnits, remaining / (REMAINING_DIVISOR * shares));
  }

  private void release(
      TeamHolding holding, LocalSlice slice, boolean stopping, List<BudgetRecord> records) {
    if (slice.reservedUnits > 0 || slice.pendingRelease != null) {
      return;
    }
    boolean idle = nowMs - slice.lastUsedMs >= limits.idleMs();
    boolean usedUp = slice.spentUnits >= slice.amountUnits;
    boolean endedByReclaim = slice.reclaimed && slice.availableUnits() == 0;
    if (!idle && !usedUp && !endedByReclaim && !stopping) {
      return;
    }
    if (idle) {
      holding.lastAmountUnits = 0;
      holding.largestCallUnits = 0;
    }
    BudgetRecord released =
        new BudgetRecord.SliceReleased(
            recordIds.get(), holding.team, slice.period, slice.id, slice.spentUnits);
    slice.pendingRelease = new LocalSlice.PendingRecord(released, nowMs);
    records.add(released);
  }

  private void resend(TeamHolding holding, List<BudgetRecord> records) {
    List<LocalSlice.PendingRecord> pending = new ArrayList<>();
    pending.add(holding.pendingGrant);
    for (LocalSlice slice : holding.slices.values()) {
      pending.add(slice.pendingOpen);
      pending.add(slice.pendingRelease);
    }
    for (LocalSlice.PendingRecord each : pending) {
      if (each != null && nowMs - each.sentMs >= limits.resendMs()) {
        each.sentMs = nowMs;
        records.add(each.budgetRecord);
      }
    }
  }
}
