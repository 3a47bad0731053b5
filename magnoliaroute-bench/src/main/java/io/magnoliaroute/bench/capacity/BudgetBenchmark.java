package io.magnoliaroute.bench.capacity;

import io.magnoliaroute.core.budget.BudgetAccounts;
import io.magnoliaroute.core.budget.BudgetCodec;
import io.magnoliaroute.core.budget.BudgetFormatException;
import io.magnoliaroute.core.budget.BudgetPeriod;
import io.magnoliaroute.core.budget.BudgetRecord;
import io.magnoliaroute.core.budget.BudgetVerdict;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Measures the cost of the budget stream: bytes and time per record, heap per account. */
public final class BudgetBenchmark {

  private static final int[] TEAM_COUNTS = {920, 9_200};
  private static final int VM_COUNT = 410;
  private static final int ROUNDS = 20;
  private static final long SLICE_UNITS = 20_000;
  private static final long BUDGET_UNITS = 100_000_000;
  private static final BudgetPeriod PERIOD = new BudgetPeriod(497_222, 3_600_000);
  private static final VmId VM = new VmId("natal-1");

  private BudgetBenchmark() {}

  /**
   * Prints one line of results for each number of teams.
   *
   * @throws BudgetFormatException if an encoded record cannot be decoded
   */
  public static void run(PrintStream out) throws BudgetFormatException {
    out.println("budget: one grant and one release of each team a round");
    for (int teams : TEAM_COUNTS) {
      measure(teams, out);
    }
  }

  private static void measure(int teamCount, PrintStream out) throws BudgetFormatException {
    List<Bytes> payloads = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (int team = 0; team < teamCount; team++) {
        payloads.add(BudgetCodec.encode(grant(round, team)));
        payloads.add(BudgetCodec.encode(release(round, team)));
      }
    }
    long payloadBytes = payloads.stream().mapToLong(Bytes::sizeBytes).sum();
    long heapBeforeBytes = HeapUsage.usedBytes();
    BudgetAccounts ledger = new BudgetAccounts();
    long startNanos = System.nanoTime();
    applyAll(ledger, payloads);
    double microsPerRecord = (System.nanoTime() - startNanos) / 1_000.0 / payloads.size();
    long heapBytes = (HeapUsage.usedBytes() - heapBeforeBytes) / teamCount;
    out.printf(
        "  %5d teams: %d bytes a record, %.1f us to decode and apply it, %d heap bytes an account%n",
        teamCount, payloadBytes / payloads.size(), microsPerRecord, heapBytes);
    if (ledger.liveSlices().size() != 0) {
      throw new IllegalStateException("slices not released: " + ledger.liveSlices().size());
    }
  }

  private static void applyAll(BudgetAccounts ledger, List<Bytes> payloads)
      throws BudgetFormatException {
    long offset = 0;
    for (Bytes payload : payloads) {
      BudgetVerdict verdict = ledger.apply(offset++, BudgetCodec.decode(payload));
      if (verdict != BudgetVerdict.ACCEPTED) {
        throw new IllegalStateException("record " + offset + " rejected: " + verdict);
      }
    }
  }

  private static BudgetRecord grant(int round, int team) {
    return new BudgetRecord.SliceGranted(
        recordId(round, team, "g"),
        teamId(team),
        PERIOD,
        sliceId(round, team),
        VM,
        SLICE_UNITS,
        SLICE_UNITS / 4,
        BUDGET_UNITS,
        team % VM_COUNT,
        1_790_000_000_000L + round);
  }

  private static BudgetRecord release(int round, int team) {
    return new BudgetRecord.SliceReleased(
        recordId(round, team, "r"), teamId(team), PERIOD, sliceId(round, team), SLICE_UNITS / 8);
  }

  private static String recordId(int round, int team, String kind) {
    return "natal-1/1790000000000/" + kind + round + "." + team;
  }

  private static String sliceId(int round, int team) {
    return "natal-1/1790000000000/" + round + "." + team;
  }

  private static TeamId teamId(int team) {
    return new TeamId("team-" + team);
  }
}
