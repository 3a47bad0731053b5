package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.budget.BudgetCodec;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.budget.BudgetLedger;
import io.magnoliaroute.core.budget.BudgetPeriod;
import io.magnoliaroute.core.budget.BudgetRecord;
import io.magnoliaroute.core.budget.BudgetVerdict;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Measures what the budget streams cost a VM: bytes and time of a record, heap of an account. */
public final class BudgetSlopes {

  private static final int[] TEAM_COUNTS = {920, 9_200};
  private static final int VMS = 410;
  private static final int ROUNDS = 20;
  private static final long AMOUNT_UNITS = 20_000;
  private static final long BUDGET_UNITS = 100_000_000;
  private static final BudgetPeriod PERIOD = new BudgetPeriod(497_222, 3_600_000);
  private static final VmId VM = new VmId("natal-1");

  private BudgetSlopes() {}

  /** Prints a line for each number of teams. */
  public static void run(PrintStream out) throws BudgetFormatException {
    out.println("budget: one grant and one release of each team a round");
    for (int teams : TEAM_COUNTS) {
      measure(teams, out);
    }
  }

  private static void measure(int teams, PrintStream out) throws BudgetFormatException {
    List<Bytes> payloads = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (int team = 0; team < teams; team++) {
        payloads.add(BudgetCodec.encode(grant(round, team)));
        payloads.add(BudgetCodec.encode(release(round, team)));
      }
    }
    long bytes = payloads.stream().mapToLong(Bytes::sizeBytes).sum();
    long before = Heap.usedBytes();
    BudgetLedger ledger = new BudgetLedger();
    long startNanos = System.nanoTime();
    apply(ledger, payloads);
    double micros = (System.nanoTime() - startNanos) / 1_000.0 / payloads.size();
    long heapBytes = (Heap.usedBytes() - before) / teams;
    out.printf(
        "  %5d teams: %d bytes a record, %.1f us to decode and apply it, %d heap bytes an account%n",
        teams, bytes / payloads.size(), micros, heapBytes);
    if (ledger.liveSlices().size() != 0) {
      throw new IllegalStateException("slices were left: " + ledger.liveSlices().size());
    }
  }

  private static void apply(BudgetLedger ledger, List<Bytes> payloads)
      throws BudgetFormatException {
    long offset = 0;
    for (Bytes payload : payloads) {
      BudgetVerdict verdict = ledger.apply(offset++, BudgetCodec.decode(payload));
      if (verdict != BudgetVerdict.ACCEPTED) {
        throw new IllegalStateException("record " + offset + " was refused: " + verdict);
      }
    }
  }

  private static BudgetRecord grant(int round, int team) {
    return new BudgetRecord.SliceGranted(
        recordId(round, team, "g"),
        teamOf(team),
        PERIOD,
        slice(round, team),
        VM,
        AMOUNT_UNITS,
        AMOUNT_UNITS / 4,
        BUDGET_UNITS,
        team % VMS,
        1_790_000_000_000L + round);
  }

  private static BudgetRecord release(int round, int team) {
    return new BudgetRecord.SliceReleased(
        recordId(round, team, "r"), teamOf(team), PERIOD, slice(round, team), AMOUNT_UNITS / 8);
  }

  private static String recordId(int round, int team, String kind) {
    return "natal-1/1790000000000/" + kind + round + "." + team;
  }

  private static String slice(int round, int team) {
    return "natal-1/1790000000000/" + round + "." + team;
  }

  private static TeamId teamOf(int team) {
    return new TeamId("team-" + team);
  }
}
