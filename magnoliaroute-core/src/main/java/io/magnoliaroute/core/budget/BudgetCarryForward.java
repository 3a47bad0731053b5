package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.config.CarryForwardSchedule;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes the snapshots that carry accounts forward before the log drops their grants. */
public final class BudgetCarryForward {

  private final CarryForwardSchedule schedule;
  private final String writer;
  private final Map<String, Long> firstSeenMs = new HashMap<>();
  private long nextRecord = 1;

  /**
   * Makes a controller.
   *
   * @param schedule when this VM acts
   * @param writer the incarnation of this VM; record ids start with it
   */
  public BudgetCarryForward(CarryForwardSchedule schedule, String writer) {
    this.schedule = schedule;
    this.writer = writer;
  }

  /** Returns the snapshots to append now; accounts of periods that ended are left to expire. */
  public List<BudgetRecord> poll(BudgetLedger ledger, Collection<VmId> live, long nowMs) {
    if (!ledger.caughtUp()) {
      return List.of();
    }
    List<BudgetRecord> records = new ArrayList<>();
    Map<String, Long> seen = new HashMap<>();
    for (AccountAge age : ledger.accountAges()) {
      if (nowMs >= age.period().endMs()) {
        continue;
      }
      String key = age.team() + "|" + age.period().index() + "|" + age.period().lengthMs();
      long sinceMs = Math.max(age.carriedMs(), firstSeenMs.getOrDefault(key, nowMs));
      seen.put(key, sinceMs);
      if (schedule.due(key, sinceMs, live, nowMs)) {
        String id = writer + "/budget-snapshot/" + nextRecord++;
        ledger.snapshot(age.team(), age.period(), id, nowMs).ifPresent(records::add);
        // Waits for the snapshot to be read back before the next one.
        seen.put(key, nowMs);
      }
    }
    firstSeenMs.clear();
    firstSeenMs.putAll(seen);
    return records;
  }
}
