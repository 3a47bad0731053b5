package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.config.SnapshotSchedule;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Creates account snapshots before the records that an account depends on expire from the log. */
public final class BudgetSnapshotter {

  /**
   * A snapshot that has not been read back within the retention period divided by this may be
   * created again.
   */
  private static final int RETRY_DIVISOR = 16;

  private final SnapshotSchedule schedule;
  private final String writer;
  private final Map<String, Long> sentMs = new HashMap<>();
  private long nextRecord = 1;

  /**
   * Creates a snapshotter.
   *
   * @param schedule decides when this VM creates the snapshot of an account
   * @param writer the incarnation of this VM, used as the prefix of record ids
   */
  public BudgetSnapshotter(SnapshotSchedule schedule, String writer) {
    this.schedule = schedule;
    this.writer = writer;
  }

  /**
   * Returns the snapshots to append now. Accounts of periods that have ended are not snapshotted
   * and expire with the log.
   *
   * <p>Must be called only after a read that reached the end of the stream.
   */
  public List<BudgetRecord> poll(BudgetAccounts accounts, Collection<VmId> live, long nowMs) {
    if (!accounts.isCaughtUp()) {
      return List.of();
    }
    sentMs.values().removeIf(sent -> nowMs - sent >= schedule.retentionMs() / RETRY_DIVISOR);
    List<BudgetRecord> records = new ArrayList<>();
    for (AccountSnapshotTime snapshotTime : accounts.snapshotTimes()) {
      String key =
          snapshotTime.team()
              + "|"
              + snapshotTime.period().index()
              + "|"
              + snapshotTime.period().lengthMs();
      boolean ended = nowMs >= snapshotTime.period().endMs();
      if (ended
          || sentMs.containsKey(key)
          || !schedule.isDue(key, snapshotTime.lastSnapshotMs(), live, nowMs)) {
        continue;
      }
      sentMs.put(key, nowMs);
      String id = writer + "/budget-snapshot/" + nextRecord++;
      accounts
          .snapshot(snapshotTime.team(), snapshotTime.period(), id, nowMs)
          .ifPresent(records::add);
    }
    return records;
  }
}
