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
 * <p>A reservation comes out of what the log order opened for this VM, so a VM that is cut off
 * spends what it holds and no more. Append the records of {@link #poll} to the team's stream, and
 * hand each record that is read back to {@link BudgetLedger#apply} and then, with the verdict, to
 * {@link #applied}. Not thread-safe; keep it in the shard of its ledger.
 */
public final class BudgetHolder {

  private final VmId vm;
  private final String writer;
  private final BudgetLedger ledger;
  private final BudgetHolderLimits limits;
  private final Map<TeamId, TeamHolding> holdings = new HashMap<>();
  private final Map<Long, Reservation> open = new HashMap<>();
  private long nextRecord = 1;
  private long nextReservation = 1;
  private boolean draining;

  /**
   * Makes a holder without slices.
   *
   * @param vm this VM
   * @param writer the incarnation of this VM; record ids start with it, so it must not be reused
   * @param ledger the ledger of the stream
   * @param limits the timing
   */
  public BudgetHolder(VmId vm, String writer, BudgetLedger ledger, BudgetHolderLimits limits) {
    if (writer.isEmpty()) {
      throw new IllegalArgumentException("writer must not be empty");
    }
    this.vm = vm;
    this.writer = writer;
    this.ledger = ledger;
    this.limits = limits;
  }

  /** Sets the budget of a team from the version of its branch. */
  public void putTeam(TeamId team, BudgetSettings settings, long settingsVersion) {
    TeamHolding holding = holdings.computeIfAbsent(team, TeamHolding::new);
    holding.settings = settings;
    holding.settingsVersion = settingsVersion;
    holding.removed = false;
  }

  /** Stops reservations of the team; its slices are released once its calls have ended. */
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

  /** Returns whether all slices are released, after {@link #drain}. */
  public boolean drained() {
    return holdings.values().stream().allMatch(holding -> holding.slices.isEmpty());
  }

  /**
   * Sets aside the most that a call may cost, or nothing if the opened units do not suffice.
   *
   * <p>Each reservation must be settled once, also when the call did not run.
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
    Optional<List<Reservation.Part>> parts = holding.take(period, units, nowMs);
    if (parts.isEmpty()) {
      holding.waiting.add(units, nowMs);
      return Optional.empty();
    }
    holding.lastReserveMs = nowMs;
    holding.waiting.served(units);
    Reservation made = new Reservation(nextReservation++, team, period, parts.get());
    open.put(made.id(), made);
    return Optional.of(made);
  }

  /**
   * Ends a reservation; a second settlement of the same reservation does nothing.
   *
   * <p>Units above the reservation are charged to what is available and counted as overrun, because
   * they were spent already.
   */
  public void settle(Reservation reservation, long spentUnits) {
    if (spentUnits < 0) {
      throw new IllegalArgumentException("spentUnits must not be negative, was " + spentUnits);
    }
    if (open.remove(reservation.id()) == null) {
      return;
    }
    holdings.get(reservation.team()).settle(reservation, spentUnits);
  }

  /** Returns whether a reservation would succeed, or what stands in its way. */
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
    long reachable = available + holding.unopenedUnits(period) + holding.returningUnits(period);
    reachable += holding.pendingGrant == null ? 0 : grantOf(holding).amountUnits();
    long remaining = ledger.remainingUnits(team, period, holding.settings.unitsPerPeriod());
    return units <= reachable + Math.max(0, remaining)
        ? BudgetAvailability.PENDING
        : BudgetAvailability.EXHAUSTED;
  }

  /** Returns how long until the team's next period begins. */
  public long untilNextPeriodMs(TeamId team, long nowMs) {
    TeamHolding holding = holdings.get(team);
    if (holding == null) {
      return 0;
    }
    return BudgetPeriod.at(nowMs, holding.settings.periodMs()).endMs() - nowMs;
  }

  /** Returns the records to append now, new ones and those that were not read back in time. */
  public List<BudgetRecord> poll(long nowMs) {
    List<BudgetRecord> records = new ArrayList<>();
    SlicePlanner planner = new SlicePlanner(vm, ledger, limits, this::newRecordId, nowMs);
    for (TeamHolding holding : holdings.values()) {
      planner.plan(holding, draining || holding.removed, records);
    }
    return records;
  }

  /** Takes over the verdict of a record that was read back; records of other VMs are ignored. */
  public void applied(BudgetRecord budgetRecord, BudgetVerdict verdict, long nowMs) {
    TeamHolding holding = holdings.get(budgetRecord.team());
    if (holding == null) {
      return;
    }
    if (budgetRecord instanceof BudgetRecord.SliceGranted grant) {
      granted(holding, grant, verdict, nowMs);
    } else if (budgetRecord instanceof BudgetRecord.SliceOpened opened) {
      opened(holding.slices.get(opened.slice()), opened);
    } else if (budgetRecord instanceof BudgetRecord.SliceReclaimed reclaimed) {
      reclaimed(holding.slices.get(reclaimed.slice()), verdict);
    } else if (budgetRecord instanceof BudgetRecord.SliceReleased released) {
      holding.slices.remove(released.slice());
    }
  }

  /** Returns the figures of each team that this holder knows. */
  public List<TeamFigures> figures() {
    return holdings.values().stream().map(TeamHolding::figures).toList();
  }

  /**
   * Takes over a slice once, by the state of the ledger.
   *
   * <p>A VM that reads the log anew meets its own grants again. A second takeover would forget what
   * was spent, and a verdict of a ledger that has not caught up may be wrong.
   */
  private void granted(
      TeamHolding holding, BudgetRecord.SliceGranted grant, BudgetVerdict verdict, long nowMs) {
    boolean own = grant.slice().startsWith(writer + "/");
    if (!own || !ledger.known(grant.team(), grant.period())) {
      return;
    }
    long number = Long.parseLong(grant.slice().substring(writer.length() + 1));
    // A repeated append of a refused grant may be accepted once budget has been returned.
    boolean refusedBefore = holding.refusedGrants.remove(number);
    if (!refusedBefore && number <= holding.lastDecidedGrant) {
      return;
    }
    if (!refusedBefore) {
      holding.lastDecidedGrant = number;
      holding.pendingGrant = null;
    }
    Optional<SliceState> state = ledger.slice(grant.team(), grant.period(), grant.slice());
    if (state.isPresent() && state.get().phase() != SlicePhase.RELEASED) {
      holding.slices.put(grant.slice(), new HolderSlice(grant.period(), state.get(), nowMs));
      holding.lastAmountUnits = grant.amountUnits();
      holding.lastGrantMs = nowMs;
    } else if (state.isEmpty()) {
      holding.addRefused(number);
      holding.lastAmountUnits =
          verdict == BudgetVerdict.BUDGET_EXCEEDED ? 0 : holding.lastAmountUnits;
    }
  }

  private void opened(HolderSlice slice, BudgetRecord.SliceOpened opened) {
    if (slice == null || !ledger.known(opened.team(), opened.period())) {
      return;
    }
    ledger
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

  private static void reclaimed(HolderSlice slice, BudgetVerdict verdict) {
    if (slice != null && verdict == BudgetVerdict.ACCEPTED) {
      slice.reclaimed = true;
      slice.pendingOpen = null;
    }
  }

  private static BudgetRecord.SliceGranted grantOf(TeamHolding holding) {
    return (BudgetRecord.SliceGranted) holding.pendingGrant.budgetRecord;
  }

  private String newRecordId() {
    return writer + "/" + nextRecord++;
  }
}
