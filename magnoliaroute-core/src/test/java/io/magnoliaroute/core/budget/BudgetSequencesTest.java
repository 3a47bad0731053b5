package io.magnoliaroute.core.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.config.SimulatedLog;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class BudgetSequencesTest {

  private static final int STEPS = 160;

  /**
   * Guards against calls that spend more than the budget of a period (G3), accounts that differ
   * between VMs, and budget that is lost without a crashed VM that had opened it.
   */
  @Test
  void noPeriodIsOverspentAndOnlyOpenedUnitsOfCrashedVmsAreStranded() {
    int sequences = Integer.getInteger("magnoliaroute.sequences", 2_000);
    Totals totals = new Totals();
    for (long seed = 1; seed <= sequences; seed++) {
      try {
        run(seed, totals);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
    System.out.printf(
        "budget sequences: %d, calls %d, crashes %d, reclaims %d, reads past retention %d%n",
        sequences, totals.calls, totals.crashes, totals.reclaims, totals.readsPastRetention);
    System.out.printf(
        "stranded units: %d of %d budgeted (%.2f%%), bound %d (%.2f%%)%n",
        totals.stranded,
        totals.budgeted,
        100.0 * totals.stranded / totals.budgeted,
        totals.bound,
        100.0 * totals.bound / totals.budgeted);
    assertTrue(sequences < 100 || totals.reclaims > 0, "no slice was reclaimed");
    assertTrue(sequences < 100 || totals.readsPastRetention > 0, "no read past the retention");
  }

  private static void run(long seed, Totals totals) {
    Random random = new Random(seed);
    // Odd seeds have several short periods; even seeds have one, whose rest is spent at the end.
    boolean onePeriod = seed % 2 == 0;
    BudgetWorld world = new BudgetWorld(random, onePeriod ? 10_000_000 : 30_000);
    for (int i = 0; i < STEPS; i++) {
      world.stepWithFaults();
    }
    if (onePeriod) {
      checkRest(world, totals);
    }
    totals.calls += world.calls;
    totals.crashes += world.crashes;
    totals.readsPastRetention += world.readsPastRetention;
  }

  private static void checkRest(BudgetWorld world, Totals totals) {
    world.quiet();
    world.checkLedgersAgree();
    BudgetWorld.Stranded stranded = world.stranded();
    long spentMs = world.spendTheRest();
    assertTrue(spentMs < 600_000, "the rest was not spent in time");
    long missing = world.budgetUnits() - world.spentUnits();
    assertEquals(stranded.units(), missing, "units that nobody can spend");
    assertTrue(
        stranded.units() <= stranded.boundUnits(),
        () -> "stranded " + stranded.units() + " above the bound " + stranded.boundUnits());
    totals.stranded += stranded.units();
    totals.bound += stranded.boundUnits();
    totals.reclaims += stranded.slices();
    totals.budgeted += world.budgetUnits();
  }

  private static final class Totals {
    private long calls;
    private long crashes;
    private long reclaims;
    private long readsPastRetention;
    private long stranded;
    private long bound;
    private long budgeted;
  }

  /** Guards against a simulated log without the faults that the sequences are meant to have. */
  @Test
  void theSimulatedLogRepeatsAndDelaysAppends() {
    SimulatedLog<Integer> log = new SimulatedLog<>(new Random(1), 1_000_000, 10_000);
    for (int i = 0; i < 100; i++) {
      log.append(i);
    }
    log.advanceTo(300);
    int early = log.end();
    log.advanceTo(20_000);
    assertTrue(early < log.end(), "no append was late");
    assertTrue(log.end() > 100, "no append landed twice");
  }
}
