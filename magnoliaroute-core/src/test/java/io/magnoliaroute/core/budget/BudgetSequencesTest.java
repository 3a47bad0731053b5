package io.magnoliaroute.core.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.config.SimulatedLog;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class BudgetSequencesTest {

  private static final int STEPS = 160;

  /**
   * Guards against calls that together spend more than the budget of a period (G3), accounts that
   * differ between VMs, and lost units other than those opened by a VM that crashed.
   */
  @Test
  void noPeriodIsOverspentAndOnlyCrashedVmsStrandUnits() {
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
    assertTrue(
        sequences < 100 || totals.readsPastRetention > 0,
        "no VM started reading after records had expired");
  }

  private static void run(long seed, Totals totals) {
    Random random = new Random(seed);
    // Odd seeds use several short periods. Even seeds use a single period and spend its remaining
    // budget at the end.
    boolean onePeriod = seed % 2 == 0;
    BudgetSimulation simulation = new BudgetSimulation(random, onePeriod ? 10_000_000 : 30_000);
    for (int i = 0; i < STEPS; i++) {
      simulation.stepWithFaults();
    }
    if (onePeriod) {
      checkRemainingBudget(simulation, totals);
    }
    totals.calls += simulation.calls;
    totals.crashes += simulation.crashes;
    totals.readsPastRetention += simulation.readsPastRetention;
  }

  private static void checkRemainingBudget(BudgetSimulation simulation, Totals totals) {
    simulation.stepUntilQuiescent();
    simulation.checkAccountsAgree();
    BudgetSimulation.Stranded stranded = simulation.stranded();
    long elapsedMs = simulation.spendRemaining();
    assertTrue(elapsedMs < 600_000, "the remaining budget was not spent within 600 s");
    long unspent = simulation.budgetUnits() - simulation.spentUnits();
    assertEquals(stranded.units(), unspent, "unspent units differ from the stranded units");
    assertTrue(
        stranded.units() <= stranded.boundUnits(),
        () -> "stranded units " + stranded.units() + " exceed the bound " + stranded.boundUnits());
    totals.stranded += stranded.units();
    totals.bound += stranded.boundUnits();
    totals.reclaims += stranded.slices();
    totals.budgeted += simulation.budgetUnits();
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

  /** Guards against a simulated log that does not inject the faults the sequences rely on. */
  @Test
  void simulatedLogRepeatsAndDelaysAppends() {
    SimulatedLog<Integer> log = new SimulatedLog<>(new Random(1), 1_000_000, 10_000);
    for (int i = 0; i < 100; i++) {
      log.append(i);
    }
    log.advanceTo(300);
    int earlyEnd = log.endOffset();
    log.advanceTo(20_000);
    assertTrue(earlyEnd < log.endOffset(), "no append was delayed");
    assertTrue(log.endOffset() > 100, "no append was repeated");
  }
}
