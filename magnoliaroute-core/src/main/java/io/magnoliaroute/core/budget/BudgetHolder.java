package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BudgetSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reserves units of team budgets for calls on one VM.
 *
 * <p>Reservations use only units that accepted log records have opened for this VM, so a VM that is
 * disconnected from the log cannot spend more than those. The caller appends the records returned
 * by {@link #poll} to the team's stream, and passes each record that it reads back to {@link
 * BudgetAccounts#apply} and then, together with the verdict, to {@link #onApplied}. Not
 * thread-safe; must be guarded by the same lock as the accounts.
 */
public final class BudgetHolder {

  private final VmId vm;
  private final String writer;
  private final BudgetAccounts accounts;
  private final BudgetHolderLimits limits;
  private final Map<TeamId, TeamHolding> holdings = new HashMap<>();
  private final Map<Long, Reservation> openReservations = new HashMap<>();
  private long nextRecord = 1;
  private long nextReservation = 1;
  private boolean draining;

  /**
   * Creates a holder without slices.
   *
   * @param vm this VM
   * @param writer the incarnation of this VM, used as the prefix of record ids; must not be reused
   * @param accounts the accounts of the budget stream that this holder appends to
   * @param limits the timing limits
   */
  public BudgetHolder(VmId vm, String writer, BudgetAccounts accounts, BudgetHolderLimits limits) {
    if (writer.isEmpty()) {
      throw new IllegalArgumentException("writer must not be empty");
    }
    this.vm = vm;
    this.writer = writer;
    this.accounts = accounts;
    this.limits = limits;
  }

  /** Sets the budget of a team, taken from the given version of the team's settings branch. */
  public void putTeam(TeamId team, BudgetSettings settings, long settingsVersion) {
    TeamHolding holding = holdings.computeIfAbsent(team, TeamHolding::new);
    holding.settings = settings;
    holding.settingsVersion = settingsVersion;
    holding.removed = false;
  }

  /** Stops new reservations for the team; its slices are released once its calls have ended. */
  public void removeTeam(TeamId team) {
    TeamHolding holding = holdings.get(team);
    if (holding != null) {
      holding.removed = true;
    }
  }

  /** Stops new reservations; {@link #poll} releases each slice once its calls have ended. */
  public void drain() {
    draining = true;
  }

  /** Returns whether all slices have been released after {@link #drain}. */
  public boolean isDrained() {
    return holdings.values().stream().allMatch(holding -> holding.slices.isEmpty());
  }

  /**
   * Reserves the maximum cost of a call, or returns an empty result if too few opened units are
   * available.
   *
   * <p>Each reservation must be settled once, even if the call did not run.
   */
  public Optional<Reservation> reserve(TeamId team, long units, long nowMs) {
    if (units < 1) {
      throw new IllegalArgumentException("units must be positive, was " + units);
    }
    TeamHolding holding = holdings.get(team);
    if (holding == null || holding.removed || draining) {
      return Optional.empty();
    }
    BudgetPeriod period = BudgetPeriod.at(nowMs, holding.settings.periodMs());
    holding.largestCallUnits = Math.max(holding.largestCallUnits, units);
    Optional<List<Reservation.Part>> parts = holding.reserve(period, units, nowMs);
    if (parts.isEmpty()) {
      holding.unmetDemand.add(units, nowMs);
      return Optional.empty();
    }
    holding.lastReserveMs = nowMs;
    holding.unmetDemand.remove(units);
    Reservation reservation = new Reservation(nextReservation++, team, period, parts.get());
    openReservations.put(reservation.id(), reservation);
    return Optional.of(reservation);
  }

  /**
   * Settles a reservation; a second settlement of the same reservation has no effect.
   *
   * <p>Units above the reservation have already been spent, so they are charged to the available
   * units and counted as overrun.
   */
  public void settle(Reservation reservation, long spentUnits) {
    if (spentUnits < 0) {
      throw new IllegalArgumentException("spentUnits must not be negative, was " + spentUnits);
    }
    if (openReservations.remove(reservation.id()) == null) {
      return;
    }
    holdings.get(reservation.team()).settle(reservation, spentUnits);
  }

  /** Returns whether a reservation would succeed now, or why it would not. */
  public BudgetAvailability availability(TeamId team, long units, long nowMs) {
    TeamHolding holding = holdings.get(team);
    if (holding == null || holding.removed) {
      return BudgetAvailability.NO_BUDGET;
    }
    if (units > holding.settings.unitsPerPeriod()) {
      return BudgetAvailability.NEVER;
    }
    BudgetPeriod period = BudgetPeriod.at(nowMs, holding.settings.periodMs());
    long available = holding.availableUnits(period);
    if (available >= units) {
      return BudgetAvailability.READY;
    }
    long obtainable =
        available + holding.unopenedUnits(period) + holding.pendingReleaseUnits(period);
    obtainable += holding.pendingGrant == null ? 0 : pendingGrantOf(holding).amountUnits();
    long remaining = accounts.remainingUnits(team, period, holding.settings.unitsPerPeriod());
    return units <= obtainable + Math.max(0, remaining)
        ? BudgetAvailability.PENDING
        : BudgetAvailability.EXHAUSTED;
  }

  /** Returns the time until the team's next period begins, or 0 if the team is unknown. */
  public long untilNextPeriodMs(TeamId team, long nowMs) {
    TeamHolding holding = holdings.get(team);
    if (holding == null) {
      return 0;
    }
    return BudgetPeriod.at(nowMs, holding.settings.periodMs()).endMs() - nowMs;
  }

  /** Returns the records to append now: new records, and those that must be resent. */
  public List<BudgetRecord> poll(long nowMs) {
    List<BudgetRecord> records = new ArrayList<>();
    SlicePlanner planner = new SlicePlanner(vm, accounts, limits, this::newRecordId, nowMs);
    for (TeamHolding holding : holdings.values()) {
      planner.plan(holding, draining || holding.removed, records);
    }
    return records;
  }

  /** Processes a record that was read back, and its verdict. Records of other VMs are ignored. */
  public void onApplied(BudgetRecord budgetRecord, BudgetVerdict verdict, long nowMs) {
    TeamHolding holding = holdings.get(budgetRecord.team());
    if (holding == null) {
      return;
    }
    if (budgetRecord instanceof BudgetRecord.SliceGranted grant) {
      onGranted(holding, grant, verdict, nowMs);
    } else if (budgetRecord instanceof BudgetRecord.SliceOpened opened) {
      onOpened(holding.slices.get(opened.slice()), opened);
    } else if (budgetRecord instanceof BudgetRecord.SliceReclaimed reclaimed) {
      onReclaimed(holding.slices.get(reclaimed.slice()), verdict);
    } else if (budgetRecord instanceof BudgetRecord.SliceReleased released) {
      holding.slices.remove(released.slice());
    }
  }

  /** Returns the budget usage of each team known to this holder. */
  public List<TeamBudgetUsage> usage() {
    return holdings.values().stream().map(TeamHolding::usage).toList();
  }

  /**
   * Adds a granted slice, at most once and in the state that its account reports.
   *
   * <p>A VM that rereads the log reads its own grants again. Adding a slice a second time would
   * discard the record of its spent units. The verdict of an account that is not complete may be
   * wrong, so such a verdict is ignored.
   */
  private void onGranted(
      TeamHolding holding, BudgetRecord.SliceGranted grant, BudgetVerdict verdict, long nowMs) {
    boolean own = grant.slice().startsWith(writer + "/");
    if (!own || !accounts.isComplete(grant.team(), grant.period())) {
      return;
    }
    long number = Long.parseLong(grant.slice().substring(writer.length() + 1));
    // A resent copy of a refused grant may be accepted after units return to the budget.
    boolean refusedBefore = holding.refusedGrants.remove(number);
    if (!refusedBefore && number <= holding.lastDecidedGrant) {
      return;
    }
    if (!refusedBefore) {
      holding.lastDecidedGrant = number;
      holding.pendingGrant = null;
    }
    Optional<SliceState> state = accounts.slice(grant.team(), grant.period(), grant.slice());
    if (state.isPresent() && state.get().phase() != SlicePhase.RELEASED) {
      holding.slices.put(grant.slice(), new LocalSlice(grant.period(), state.get(), nowMs));
      holding.lastAmountUnits = grant.amountUnits();
      holding.lastGrantMs = nowMs;
    } else if (state.isEmpty()) {
      holding.addRefusedGrant(number);
      holding.lastAmountUnits =
          verdict == BudgetVerdict.BUDGET_EXCEEDED ? 0 : holding.lastAmountUnits;
    }
  }

  private void onOpened(LocalSlice slice, BudgetRecord.SliceOpened opened) {
    if (slice == null || !accounts.isComplete(opened.team(), opened.period())) {
      return;
    }
    accounts
        .slice(opened.team(), opened.period(), opened.slice())
        .ifPresent(
            state -> {
              slice.openedUnits = Math.max(slice.openedUnits, state.openedUnits());
              slice.reclaimed |= state.phase() == SlicePhase.RECLAIMED;
            });
    if (slice.pendingOpen != null
        && slice.pendingOpen.budgetRecord.recordId().equals(opened.recordId())) {
      slice.pendingOpen = null;
    }
  }

  private static void onReclaimed(LocalSlice slice, BudgetVerdict verdict) {
    if (slice != null && verdict == BudgetVerdict.ACCEPTED) {
      slice.reclaimed = true;
      slice.pendingOpen = null;
    }
  }

  private static BudgetRecord.SliceGranted pendingGrantOf(TeamHolding holding) {
    return (BudgetRecord.SliceGranted) holding.pendingGrant.budgetRecord;
  }

  private String newRecordId() {
    return writer + "/" + nextRecord++;
  }
}
