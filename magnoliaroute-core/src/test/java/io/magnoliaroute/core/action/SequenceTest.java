package io.magnoliaroute.core.action;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Runs random sequences of faults; a failure reports the seed that reproduces it. */
final class SequenceTest {

  private static final int SEQUENCES = Integer.getInteger("magnoliaroute.sequences", 2_000);
  private static final long FIRST_SEED = Long.getLong("magnoliaroute.seed", 1);

  /**
   * Guards against duplicate or lost actions and against lost or mixed histories. These can result
   * from crashes, pauses, two concurrent owners, log outages, late appends, lost responses and
   * retention.
   */
  @Test
  void guaranteesHoldInEverySequence() throws Exception {
    Map<ActionReason, Integer> reasons = new EnumMap<>(ActionReason.class);
    List<String> failures = new ArrayList<>();
    int executions = 0;
    int logged = 0;
    int dropped = 0;
    int retainedPastRetention = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEQUENCES; seed++) {
      SequenceRun run = new SequenceRun(seed);
      run.run();
      List<String> violations = new SequenceCheck(run).violations();
      if (!violations.isEmpty()) {
        failures.add("seed " + seed + ": " + violations);
      }
      dropped += run.log.hasDroppedRecords() ? 1 : 0;
      retainedPastRetention += run.log.hasRetainedPastRetention() ? 1 : 0;
      executions += run.service.executions().size();
      for (SimCaller caller : run.callers) {
        logged += caller.loggedTurns.size();
        caller.receivedReplies.forEach(
            received -> reasons.merge(received.reply().reason(), 1, Integer::sum));
      }
    }
    System.out.printf(
        "%d sequences from seed %d (%d dropped records, %d retained records past retention):"
            + " %d executions, %d logged turns, replies %s%n",
        SEQUENCES, FIRST_SEED, dropped, retainedPastRetention, executions, logged, reasons);
    assertEquals(List.of(), failures.subList(0, Math.min(failures.size(), 5)));
    assertTrue(executions > SEQUENCES, "too few executions for a meaningful result: " + executions);
    assertTrue(dropped > SEQUENCES * 0.9, "too few sequences dropped records: " + dropped);
    assertTrue(
        retainedPastRetention <= SEQUENCES * 0.1,
        "too many sequences with late snapshots: " + retainedPastRetention);
  }
}
