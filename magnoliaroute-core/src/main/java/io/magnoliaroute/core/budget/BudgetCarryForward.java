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

  /** The retention divided by this is the wait for an own snapshot to be read back. */
  private static final int REPEAT_DIVISOR = 16;

  private final CarryForwardSchedule schedule;
  private final String writer;
  private final Map<String, Long> sentMs = new HashMap<>();
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

  /**
   * Returns the snapshots to append now; accounts of periods that ended are left to expire.
   *
   * <p>Call this only after a read that reached the end of the stream.
   */
  public List<BudgetRecord> poll(BudgetLedger ledger, Collection<VmId> live, long nowMs) {
    if (!ledger.caughtUp()) {
      return List.of();
    }
    sentMs.values().removeIf(sent -> nowMs - sent >= schedule.retentionMs() / REPEAT_DIVISOR);
    List<BudgetRecord> records = new ArrayList<>();
    for (AccountAge age : ledger.accountAges()) {
      String key = age.team() + "|" + age.period().index() + "|" + age.period().lengthMs();
      boolean ended = nowMs >= age.period().endMs();
      if (ended || sentMs.containsKey(key) || !schedule.due(key, age.carriedMs(), live, nowMs)) {
        continue;
      }
      sentMs.put(key, nowMs);
      String id = writer + "/budget-snapshot/" + nextRecord++;
      ledger.snapshot(age.team(), age.period(), id, nowMs).ifPresent(records::add);
    }
    return records;
  }
}
