package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.settings.BudgetSettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The slices that this VM holds for one team, and the calls that wait for more. */
final class TeamHolding {

  /** Bounds memory; a forgotten grant that is accepted late stays unused until its period ends. */
  private static final int MAX_REFUSED_GRANTS = 1_024;

  final TeamId team;
  final Map<String, HolderSlice> slices = new LinkedHashMap<>();
  final WaitingCalls waiting = new WaitingCalls();
  BudgetSettings settings;
  long settingsVersion;
  HolderSlice.Pending pendingGrant;
  long lastDecidedGrant;
  final Set<Long> refusedGrants = new HashSet<>();
  long largestCallUnits;
  long lastAmountUnits;
  long lastGrantMs;
  long lastReserveMs = Long.MIN_VALUE;
  long overrunUnits;
  boolean removed;

  TeamHolding(TeamId team) {
    this.team = team;
  }

  void addRefused(long number) {
    if (refusedGrants.size() >= MAX_REFUSED_GRANTS) {
      refusedGrants.clear();
    }
    refusedGrants.add(number);
  }

  long availableUnits(BudgetPeriod period) {
    long sum = 0;
    for (HolderSlice slice : slices.values()) {
      sum += slice.period.equals(period) ? slice.availableUnits() : 0;
    }
    return sum;
  }

  long unopenedUnits(BudgetPeriod period) {
    long sum = 0;
    for (HolderSlice slice : slices.values()) {
      sum += slice.period.equals(period) ? slice.unopenedUnits() : 0;
    }
    return sum;
  }

  /** Returns what this VM's own releases give back once they are read. */
  long returningUnits(BudgetPeriod period) {
    long sum = 0;
    for (HolderSlice slice : slices.values()) {
      boolean returning = slice.period.equals(period) && slice.pendingRelease != null;
      long held = slice.reclaimed ? slice.openedUnits : slice.amountUnits;
      sum += returning ? held - slice.spentUnits : 0;
    }
    return sum;
  }

  /** Takes the units from the oldest slices first, so that they are used up and released. */
  Optional<List<Reservation.Part>> take(BudgetPeriod period, long units, long nowMs) {
    if (availableUnits(period) < units) {
      return Optional.empty();
    }
    List<Reservation.Part> parts = new ArrayList<>();
    long rest = units;
    for (HolderSlice slice : slices.values()) {
      long taken = slice.period.equals(period) ? Math.min(rest, slice.availableUnits()) : 0;
      if (taken == 0) {
        continue;
      }
      slice.reservedUnits += taken;
      slice.lastUsedMs = nowMs;
      parts.add(new Reservation.Part(slice.id, taken));
      rest -= taken;
    }
    return Optional.of(parts);
  }

  /** Moves the spent units from reserved to spent and gives the rest back. */
  void settle(Reservation reservation, long spentUnits) {
    long rest = spentUnits;
    for (Reservation.Part part : reservation.parts()) {
      HolderSlice slice = slices.get(part.slice());
      if (slice == null) {
        continue;
      }
      long spent = Math.min(rest, part.units());
      slice.reservedUnits -= part.units();
      slice.spentUnits += spent;
      rest -= spent;
    }
    if (rest > 0) {
      overrunUnits += rest;
      chargeOverrun(reservation.period(), rest);
    }
  }

  private void chargeOverrun(BudgetPeriod period, long units) {
    long rest = units;
    for (HolderSlice slice : slices.values()) {
      if (slice.period.equals(period)) {
        long charged = Math.min(rest, slice.availableUnits());
        slice.spentUnits += charged;
        rest -= charged;
      }
    }
  }

  /** Drops slices of periods that ended and of which no call is left; their accounts are closed. */
  void dropEnded(long nowMs) {
    Iterator<HolderSlice> all = slices.values().iterator();
    while (all.hasNext()) {
      HolderSlice slice = all.next();
      if (slice.reservedUnits == 0 && nowMs >= slice.period.endMs()) {
        all.remove();
      }
    }
    if (pendingGrant != null && nowMs >= pendingGrant.budgetRecord.period().endMs()) {
      pendingGrant = null;
    }
  }

  TeamFigures figures() {
    long held = 0;
    long opened = 0;
    long reserved = 0;
    long spent = 0;
    for (HolderSlice slice : slices.values()) {
      held += slice.amountUnits;
      opened += slice.openedUnits;
      reserved += slice.reservedUnits;
      spent += slice.spentUnits;
    }
    return new TeamFigures(team, held, opened, reserved, spent, overrunUnits);
  }
}
