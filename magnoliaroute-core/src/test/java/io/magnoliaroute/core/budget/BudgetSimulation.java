package io.magnoliaroute.core.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.config.SimulatedLog;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.BudgetSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates several VMs that share the budget of one team through a log with faults, and records
 * the units that calls actually spent.
 */
final class BudgetSimulation {

  static final TeamId TEAM = new TeamId("alpha");
  static final long RETENTION_MS = 64_000;

  final Random random;
  final SimulatedLog<BudgetRecord> log;
  final long periodMs;
  final List<SimulatedVm> vms = new ArrayList<>();
  final Map<String, Long> spentBySlice = new HashMap<>();
  final Map<String, Long> peakReservedBySlice = new HashMap<>();
  final int maxCallUnits;
  long nowMs = 1_000;
  BudgetSettings settings;
  int calls;
  int crashes;
  int readsPastRetention;

  private final BudgetAccounts referenceAccounts = new BudgetAccounts();
  private final Map<BudgetPeriod, Long> spentByPeriod = new HashMap<>();
  private final Map<BudgetPeriod, Long> highestBudget = new HashMap<>();
  private long settingsVersion = 1;
  private int referenceEnd;
  private long nextOutageMs = 20_000;

  BudgetSimulation(Random random, long periodMs) {
    this.random = random;
    this.periodMs = periodMs;
    this.log = new SimulatedLog<>(random, RETENTION_MS, RETENTION_MS / 6);
    this.maxCallUnits = 1 + random.nextInt(200);
    int units = 1 + random.nextInt(random.nextBoolean() ? 1_000 : 100_000);
    this.settings = new BudgetSettings(units, periodMs);
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      vms.add(new SimulatedVm(this, new VmId("vm-" + i), i == 0));
    }
  }

  void stepWithFaults() {
    step(true);
    if (nowMs > nextOutageMs && random.nextInt(10) == 0) {
      log.startOutageUntil(nowMs + random.nextInt((int) RETENTION_MS / 8));
      nextOutageMs = nowMs + RETENTION_MS / 2;
    }
    if (random.nextInt(60) == 0) {
      settings =
          new BudgetSettings(
              settings.unitsPerPeriod() + random.nextInt((int) settings.unitsPerPeriod()),
              periodMs);
      settingsVersion++;
    }
  }

  private void step(boolean faults) {
    nowMs += random.nextInt(1_000);
    highestBudget.merge(period(), settings.unitsPerPeriod(), Math::max);
    log.advanceTo(nowMs);
    for (; referenceEnd < log.endOffset(); referenceEnd++) {
      referenceAccounts.apply(referenceEnd, log.get(referenceEnd));
    }
    for (SimulatedVm vm : vms) {
      vm.step(faults);
    }
  }

  /**
   * Stops injecting faults and advances until calls have ended, slices of crashed VMs are reclaimed
   * and the remaining slices are idle.
   */
  void stepUntilQuiescent() {
    for (int i = 0; i < 120; i++) {
      step(false);
    }
  }

  BudgetPeriod period() {
    return BudgetPeriod.at(nowMs, periodMs);
  }

  long settingsVersion() {
    return settingsVersion;
  }

  long budgetUnits() {
    return settings.unitsPerPeriod();
  }

  long spentUnits() {
    return spentByPeriod.getOrDefault(period(), 0L);
  }

  /** Records the units spent by a call, in the order in which the holder charges the parts. */
  void recordSpent(Reservation reservation, long units) {
    long remaining = units;
    for (Reservation.Part part : reservation.parts()) {
      long charged = Math.min(remaining, part.units());
      spentBySlice.merge(part.slice(), charged, Long::sum);
      remaining -= charged;
    }
    long total = spentByPeriod.merge(reservation.period(), units, Long::sum);
    long budget = highestBudget.get(reservation.period());
    assertTrue(
        total <= budget, () -> "spent " + total + " units of a budget of " + budget + " (G3)");
  }

  void checkAccountsAgree() {
    for (SimulatedVm vm : vms) {
      assertEquals(
          referenceAccounts.committedUnits(TEAM, period()),
          vm.accounts.committedUnits(TEAM, period()),
          () -> "committed units of " + vm.id);
    }
  }

  /**
   * The units that no VM can spend any more once faults have ended, and their upper bound.
   *
   * <p>A crashed holder strands the units that it had opened but not spent. For each slice these
   * are at most the peak of its reservations plus twice the headroom, where the headroom is the
   * larger of the largest call and a quarter of the slice.
   */
  record Stranded(long units, long boundUnits, int slices) {}

  Stranded stranded() {
    long units = 0;
    long bound = 0;
    int slices = 0;
    BudgetRecord.AccountSnapshot account =
        referenceAccounts.snapshot(TEAM, period(), "check", nowMs).orElse(null);
    for (SliceState slice : account == null ? List.<SliceState>of() : account.slices()) {
      if (slice.phase() == SlicePhase.LIVE) {
        assertTrue(hasRunningHolder(slice), () -> "live slice has no running holder: " + slice);
      }
      if (slice.phase() != SlicePhase.RECLAIMED) {
        continue;
      }
      long headroom = Math.max(maxCallUnits, LocalSlice.headroomUnits(slice.amountUnits()));
      long peak = peakReservedBySlice.getOrDefault(slice.slice(), 0L);
      units += slice.openedUnits() - spentBySlice.getOrDefault(slice.slice(), 0L);
      bound += Math.min(slice.openedUnits(), peak + 2 * headroom);
      slices++;
    }
    return new Stranded(units, bound, slices);
  }

  private boolean hasRunningHolder(SliceState slice) {
    return vms.stream().anyMatch(vm -> slice.slice().startsWith(vm.writer() + "/"));
  }

  /**
   * Spends all obtainable units from one VM, in calls of decreasing size, and returns the elapsed
   * simulated time.
   */
  long spendRemaining() {
    long startMs = nowMs;
    SimulatedVm vm = vms.get(0);
    long units = maxCallUnits;
    while (nowMs - startMs < 600_000) {
      BudgetAvailability availability = vm.holder.availability(TEAM, units, nowMs);
      if (availability == BudgetAvailability.EXHAUSTED
          || availability == BudgetAvailability.NEVER) {
        if (units == 1) {
          return nowMs - startMs;
        }
        units = units / 2;
        continue;
      }
      vm.spendAll(units);
      step(false);
    }
    return nowMs - startMs;
  }
}
