package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Decides at one instant which slices to ask for, open and release. */
final class SlicePlanner {

  /** A grant takes at most the rest of the budget divided by this and by the live slices. */
  private static final int REST_DIVISOR = 4;

  private static final int GROWTH_FACTOR = 2;

  private final VmId vm;
  private final BudgetLedger ledger;
  private final BudgetHolderLimits limits;
  private final Supplier<String> recordIds;
  private final long nowMs;

  SlicePlanner(
      VmId vm,
      BudgetLedger ledger,
      BudgetHolderLimits limits,
      Supplier<String> recordIds,
      long nowMs) {
    this.vm = vm;
    this.ledger = ledger;
    this.limits = limits;
    this.recordIds = recordIds;
    this.nowMs = nowMs;
  }

  /** Adds the records for one team. */
  void plan(TeamHolding holding, boolean stopping, List<BudgetRecord> records) {
    holding.dropEnded(nowMs);
    resend(holding, records);
    for (HolderSlice slice : holding.slices.values()) {
      release(holding, slice, stopping, records);
    }
    if (stopping || holding.settings == null) {
      return;
    }
    BudgetPeriod period = BudgetPeriod.at(nowMs, holding.settings.periodMs());
    if (!ledger.known(holding.team, period)) {
      return;
    }
    holding.waiting.expire(nowMs, limits.demandMs());
    long wanted = wantedUnits(holding, reachUnits(holding, period));
    if (wanted <= holding.availableUnits(period)) {
      return;
    }
    open(holding, period, wanted, records);
    grant(holding, period, wanted, records);
  }

  /** Returns what could become available with all of this VM's slices and the rest. */
  private long reachUnits(TeamHolding holding, BudgetPeriod period) {
    long budget = holding.settings.unitsPerPeriod();
    long remaining = ledger.remainingUnits(holding.team, period, budget);
    return holding.availableUnits(period) + holding.unopenedUnits(period) + Math.max(0, remaining);
  }

  /** Returns the units that should be available: for waiting calls, or ahead of the next call. */
  private long wantedUnits(TeamHolding holding, long reachUnits) {
    boolean inUse =
        holding.lastReserveMs != Long.MIN_VALUE
            && nowMs - holding.lastReserveMs < limits.idleMs() / 2;
    long ahead = inUse && holding.largestCallUnits <= reachUnits ? holding.largestCallUnits : 0;
    return Math.max(ahead, holding.waiting.largestWithin(reachUnits));
  }

  private void open(
      TeamHolding holding, BudgetPeriod period, long wanted, List<BudgetRecord> records) {
    long missing = wanted - holding.availableUnits(period);
    for (HolderSlice slice : holding.slices.values()) {
      boolean usable = slice.period.equals(period) && slice.unopenedUnits() > 0;
      if (!usable || missing <= 0) {
        continue;
      }
      long target = slice.openTarget(slice.availableUnits() + missing);
      missing -= target - slice.openedUnits;
      if (slice.pendingOpen != null || target <= slice.openedUnits) {
        continue;
      }
      BudgetRecord opened =
          new BudgetRecord.SliceOpened(recordIds.get(), holding.team, period, slice.id, target);
      slice.pendingOpen = new HolderSlice.Pending(opened, nowMs);
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
    long remaining = ledger.remainingUnits(holding.team, period, budget);
    if (missing > remaining) {
      return;
    }
    long amount = Math.max(missing, usualUnits(holding, period, remaining));
    long opened = Math.min(amount, Math.max(missing, HolderSlice.headroomUnits(amount)));
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
    holding.pendingGrant = new HolderSlice.Pending(granted, nowMs);
    records.add(granted);
  }

  /** Returns twice the last slice where it was used up soon, within this VM's part of the rest. */
  private long usualUnits(TeamHolding holding, BudgetPeriod period, long remaining) {
    boolean usedUpSoon = nowMs - holding.lastGrantMs < limits.growthMs();
    long wished = holding.lastAmountUnits * (usedUpSoon ? GROWTH_FACTOR : 1);
    long holders = ledger.liveCount(holding.team, period) + 1L;
    return Math.min(wished, remaining / (REST_DIVISOR * holders));
  }

  private void release(
      TeamHolding holding, HolderSlice slice, boolean stopping, List<BudgetRecord> records) {
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
    slice.pendingRelease = new HolderSlice.Pending(released, nowMs);
    records.add(released);
  }

  private void resend(TeamHolding holding, List<BudgetRecord> records) {
    List<HolderSlice.Pending> pending = new ArrayList<>();
    pending.add(holding.pendingGrant);
    for (HolderSlice slice : holding.slices.values()) {
      pending.add(slice.pendingOpen);
      pending.add(slice.pendingRelease);
    }
    for (HolderSlice.Pending each : pending) {
      if (each != null && nowMs - each.sentMs >= limits.resendMs()) {
        each.sentMs = nowMs;
        records.add(each.budgetRecord);
      }
    }
  }
}
