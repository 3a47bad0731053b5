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

/** The slices that this VM holds for one team, and the unmet demand for more units. */
final class TeamHolding {

  /**
   * Bounds memory. If the entry of a refused grant is removed and a resent copy is accepted later,
   * that slice stays unused until its period ends.
   */
  private static final int MAX_REFUSED_GRANTS = 1_024;

  final TeamId team;
  final Map<String, LocalSlice> slices = new LinkedHashMap<>();
  final UnmetDemand unmetDemand = new UnmetDemand();
  BudgetSettings settings;
  long settingsVersion;
  LocalSlice.PendingRecord pendingGrant;
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

  void addRefusedGrant(long number) {
    if (refusedGrants.size() >= MAX_REFUSED_GRANTS) {
      refusedGrants.clear();
    }
    refusedGrants.add(number);
  }

  long availableUnits(BudgetPeriod period) {
    long sum = 0;
    for (LocalSlice slice : slices.values()) {
      sum += slice.period.equals(period) ? slice.availableUnits() : 0;
    }
    return sum;
  }

  long unopenedUnits(BudgetPeriod period) {
    long sum = 0;
    for (LocalSlice slice : slices.values()) {
      sum += slice.period.equals(period) ? slice.unopenedUnits() : 0;
    }
    return sum;
  }

  /** Returns the units that the pending releases of this VM will return to the budget. */
  long pendingReleaseUnits(BudgetPeriod period) {
    long sum = 0;
    for (LocalSlice slice : slices.values()) {
      boolean releasePending = slice.period.equals(period) && slice.pendingRelease != null;
      long committed = slice.reclaimed ? slice.openedUnits : slice.amountUnits;
      sum += releasePending ? committed - slice.spentUnits : 0;
    }
    return sum;
  }

  /** Reserves units from the oldest slices first, so that these are used up and released. */
  Optional<List<Reservation.Part>> reserve(BudgetPeriod period, long units, long nowMs) {
    if (availableUnits(period) < units) {
      return Optional.empty();
    }
    List<Reservation.Part> parts = new ArrayList<>();
    long remaining = units;
    for (LocalSlice slice : slices.values()) {
      long reserved = slice.period.equals(period) ? Math.min(remaining, slice.availableUnits()) : 0;
      if (reserved == 0) {
        continue;
      }
      slice.reservedUnits += reserved;
      slice.lastUsedMs = nowMs;
      parts.add(new Reservation.Part(slice.id, reserved));
      remaining -= reserved;
    }
    return Optional.of(parts);
  }

  /** Converts the spent units from reserved to spent and makes the others available again. */
  void settle(Reservation reservation, long spentUnits) {
    long remaining = spentUnits;
    for (Reservation.Part part : reservation.parts()) {
      LocalSlice slice = slices.get(part.slice());
      if (slice == null) {
        continue;
      }
      long spent = Math.min(remaining, part.units());
      slice.reservedUnits -= part.units();
      slice.spentUnits += spent;
      remaining -= spent;
    }
    if (remaining > 0) {
      overrunUnits += remaining;
      chargeOverrun(reservation.period(), remaining);
    }
  }

  private void chargeOverrun(BudgetPeriod period, long units) {
    long remaining = units;
    for (LocalSlice slice : slices.values()) {
      if (slice.period.equals(period)) {
        long charged = Math.min(remaining, slice.availableUnits());
        slice.spentUnits += charged;
        remaining -= charged;
      }
    }
  }

  /**
   * Removes slices of ended periods that have no open reservations, and a pending grant of an ended
   * period. Their units need no release, because no further units are granted from an ended period.
   */
  void removeEndedSlices(long nowMs) {
    Iterator<LocalSlice> iterator = slices.values().iterator();
    while (iterator.hasNext()) {
      LocalSlice slice = iterator.next();
      if (slice.reservedUnits == 0 && nowMs >= slice.period.endMs()) {
        iterator.remove();
      }
    }
    if (pendingGrant != null && nowMs >= pendingGrant.budgetRecord.period().endMs()) {
      pendingGrant = null;
    }
  }

  TeamBudgetUsage usage() {
    long held = 0;
    long opened = 0;
    long reserved = 0;
    long spent = 0;
    for (LocalSlice slice : slices.values()) {
      held += slice.amountUnits;
      opened += slice.openedUnits;
      reserved += slice.reservedUnits;
      spent += slice.spentUnits;
    }
    return new TeamBudgetUsage(team, held, opened, reserved, spent, overrunUnits);
  }
}
