package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The budget account of one team for one period, built by applying records in log order. */
final class Account {

  private final Map<String, SliceState> slices = new HashMap<>();
  private final ArrayList<BufferedRecord> bufferedRecords = new ArrayList<>();
  private long committedUnits;
  private int liveCount;
  private long releasedSpentUnits;
  private long budgetUnits;
  private long settingsVersion = Long.MIN_VALUE;
  private long lastSnapshotMs = Long.MIN_VALUE;
  private boolean complete;
  private boolean olderRecordsMissing;

  private record BufferedRecord(long offset, BudgetRecord budgetRecord) {}

  /**
   * Creates an empty account.
   *
   * @param complete whether the reader sees every record of the account
   */
  Account(boolean complete) {
    this.complete = complete;
  }

  /**
   * Applies a record that was read from the log. While the account is incomplete, the record is
   * also buffered, so that it can be reapplied on top of a snapshot.
   */
  BudgetVerdict applyLogged(long offset, BudgetRecord budgetRecord) {
    BudgetVerdict verdict = apply(budgetRecord);
    if (!complete) {
      bufferedRecords.add(new BufferedRecord(offset, budgetRecord));
      // The grant of the slice precedes the first offset that was read.
      olderRecordsMissing |= verdict == BudgetVerdict.UNKNOWN_SLICE;
    }
    return verdict;
  }

  private BudgetVerdict apply(BudgetRecord budgetRecord) {
    if (budgetRecord instanceof BudgetRecord.SliceGranted grant) {
      return applyGrant(grant);
    }
    if (budgetRecord instanceof BudgetRecord.SliceOpened opened) {
      return applyOpen(opened);
    }
    if (budgetRecord instanceof BudgetRecord.SliceReleased released) {
      return applyRelease(released);
    }
    if (budgetRecord instanceof BudgetRecord.SliceReclaimed reclaimed) {
      return applyReclaim(reclaimed);
    }
    return BudgetVerdict.NOT_NEEDED;
  }

  private BudgetVerdict applyGrant(BudgetRecord.SliceGranted grant) {
    if (slices.containsKey(grant.slice())) {
      return BudgetVerdict.DUPLICATE;
    }
    if (grant.amountUnits() < 1
        || grant.openedUnits() < 0
        || grant.openedUnits() > grant.amountUnits()) {
      return BudgetVerdict.MALFORMED;
    }
    if (grant.settingsVersion() < settingsVersion) {
      return BudgetVerdict.STALE_SETTINGS;
    }
    if (lastSnapshotMs == Long.MIN_VALUE) {
      lastSnapshotMs = grant.timeMs();
    }
    settingsVersion = grant.settingsVersion();
    budgetUnits = grant.budgetUnits();
    // Computed as a difference because the sum of two large amounts could overflow.
    if (grant.amountUnits() > budgetUnits - committedUnits) {
      return BudgetVerdict.BUDGET_EXCEEDED;
    }
    put(
        new SliceState(
            grant.slice(), grant.vm(), grant.amountUnits(), grant.openedUnits(), SlicePhase.LIVE));
    return BudgetVerdict.ACCEPTED;
  }

  private BudgetVerdict applyOpen(BudgetRecord.SliceOpened opened) {
    SliceState state = slices.get(opened.slice());
    if (state == null) {
      return BudgetVerdict.UNKNOWN_SLICE;
    }
    if (state.phase() != SlicePhase.LIVE) {
      return BudgetVerdict.SLICE_ENDED;
    }
    if (opened.openedUnits() > state.amountUnits()) {
      return BudgetVerdict.MALFORMED;
    }
    if (opened.openedUnits() <= state.openedUnits()) {
      return BudgetVerdict.DUPLICATE;
    }
    put(state.withOpened(opened.openedUnits()));
    return BudgetVerdict.ACCEPTED;
  }

  /**
   * Releases a slice. A release after a reclaim is accepted too: only the holder writes a release,
   * after it has stopped spending, so the unspent opened units can safely be returned.
   */
  private BudgetVerdict applyRelease(BudgetRecord.SliceReleased released) {
    SliceState state = slices.get(released.slice());
    if (state == null) {
      return BudgetVerdict.UNKNOWN_SLICE;
    }
    if (state.phase() == SlicePhase.RELEASED) {
      return BudgetVerdict.DUPLICATE;
    }
    if (released.spentUnits() < 0 || released.spentUnits() > state.openedUnits()) {
      return BudgetVerdict.MALFORMED;
    }
    put(state.withPhase(SlicePhase.RELEASED));
    releasedSpentUnits += released.spentUnits();
    committedUnits += released.spentUnits();
    return BudgetVerdict.ACCEPTED;
  }

  private BudgetVerdict applyReclaim(BudgetRecord.SliceReclaimed reclaimed) {
    SliceState state = slices.get(reclaimed.slice());
    if (state == null) {
      return BudgetVerdict.UNKNOWN_SLICE;
    }
    if (state.phase() != SlicePhase.LIVE) {
      return BudgetVerdict.SLICE_ENDED;
    }
    put(state.withPhase(SlicePhase.RECLAIMED));
    return BudgetVerdict.ACCEPTED;
  }

  private void put(SliceState next) {
    SliceState previous = slices.put(next.slice(), next);
    committedUnits += next.committedUnits() - (previous == null ? 0 : previous.committedUnits());
    liveCount += liveCountOf(next) - (previous == null ? 0 : liveCountOf(previous));
  }

  private static int liveCountOf(SliceState state) {
    return state.phase() == SlicePhase.LIVE ? 1 : 0;
  }

  /** Replaces the state with that of a snapshot and reapplies the buffered records after it. */
  BudgetVerdict installSnapshot(BudgetRecord.AccountSnapshot snapshot, long firstOffset) {
    lastSnapshotMs = Math.max(lastSnapshotMs, snapshot.timeMs());
    if (complete) {
      return BudgetVerdict.NOT_NEEDED;
    }
    if (snapshot.asOfOffset() < firstOffset - 1) {
      // The log no longer retains the records between the snapshot and the first offset read.
      olderRecordsMissing = true;
      return BudgetVerdict.NOT_NEEDED;
    }
    slices.clear();
    liveCount = 0;
    committedUnits = snapshot.releasedSpentUnits();
    releasedSpentUnits = snapshot.releasedSpentUnits();
    budgetUnits = snapshot.budgetUnits();
    settingsVersion = snapshot.settingsVersion();
    snapshot.slices().forEach(this::put);
    complete = true;
    olderRecordsMissing = false;
    for (BufferedRecord buffered : bufferedRecords) {
      if (buffered.offset() > snapshot.asOfOffset()) {
        apply(buffered.budgetRecord());
      }
    }
    bufferedRecords.clear();
    return BudgetVerdict.ACCEPTED;
  }

  BudgetRecord.AccountSnapshot snapshot(
      TeamId team, BudgetPeriod period, String recordId, long asOfOffset, long nowMs) {
    return new BudgetRecord.AccountSnapshot(
        recordId,
        team,
        period,
        asOfOffset,
        nowMs,
        budgetUnits,
        settingsVersion,
        releasedSpentUnits,
        List.copyOf(slices.values()));
  }

  /**
   * Marks the account as complete once the end of the stream has been read, unless older records
   * expired from the log before a snapshot preserved them.
   */
  void markCaughtUp() {
    if (olderRecordsMissing) {
      return;
    }
    complete = true;
    bufferedRecords.clear();
    bufferedRecords.trimToSize();
  }

  List<SliceState> liveSlices() {
    List<SliceState> result = new ArrayList<>();
    for (SliceState state : slices.values()) {
      if (state.phase() == SlicePhase.LIVE) {
        result.add(state);
      }
    }
    return result;
  }

  int liveCount() {
    return liveCount;
  }

  SliceState slice(String slice) {
    return slices.get(slice);
  }

  long committedUnits() {
    return committedUnits;
  }

  long lastSnapshotMs() {
    return lastSnapshotMs;
  }

  boolean isComplete() {
    return complete;
  }
}
