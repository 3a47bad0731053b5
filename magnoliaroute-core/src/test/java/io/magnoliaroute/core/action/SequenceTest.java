package io.magnoliaroute.core.action;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Runs random sequences of faults; a failure prints the seed that repeats it. */
final class SequenceTest {

  private static final int SEQUENCES = Integer.getInteger("magnoliaroute.sequences", 2_000);
  private static final long FIRST_SEED = Long.getLong("magnoliaroute.seed", 1);

  /**
   * Guards against a doubled or lost action and a lost or mixed history under crashes, pauses, two
   * owners, log outages, late appends, lost answers and retention.
   */
  @Test
  void guaranteesHoldInEverySequence() throws Exception {
    Map<ActionReason, Integer> reasons = new EnumMap<>(ActionReason.class);
    List<String> failures = new ArrayList<>();
    int executions = 0;
    int logged = 0;
    int dropped = 0;
    int keptPast = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEQUENCES; seed++) {
      SequenceRun run = new SequenceRun(seed);
      run.run();
      List<String> faults = new SequenceCheck(run).faults();
      if (!faults.isEmpty()) {
        failures.add("seed " + seed + ": " + faults);
      }
      dropped += run.log.droppedRecords() ? 1 : 0;
      keptPast += run.log.keptPastRetention() ? 1 : 0;
      executions += run.service.executions().size();
      for (SimCaller caller : run.callers) {
        logged += caller.logged.size();
        caller.told.forEach(told -> reasons.merge(told.reply().reason(), 1, Integer::sum));
      }
    }
    System.out.printf(
        "%d sequences from seed %d (%d dropped records, %d kept some past retention):"
            + " %d executions, %d logged turns, replies %s%n",
        SEQUENCES, FIRST_SEED, dropped, keptPast, executions, logged, reasons);
    assertEquals(List.of(), failures.subList(0, Math.min(failures.size(), 5)));
    assertTrue(executions > SEQUENCES, "too few executions to show anything: " + executions);
    assertTrue(dropped > SEQUENCES * 0.9, "too few sequences dropped records: " + dropped);
    assertTrue(keptPast <= SEQUENCES * 0.1, "snapshots came late in too many: " + keptPast);
  }
}
