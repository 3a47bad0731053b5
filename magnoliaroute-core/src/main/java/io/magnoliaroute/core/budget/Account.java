package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The budget account of one team for one period, built by applying records in log order. */
final class Account {

  private final Map<String, SliceState> slices = new HashMap<>();
  private final ArrayList<Replay> replay = new ArrayList<>();
  private long committed;
  private int live;
  private long finished;
  private long budget;
  private long settingsVersion = Long.MIN_VALUE;
  private long carriedMs = Long.MIN_VALUE;
  private boolean verified;
  private boolean olderStateMissing;

  private record Replay(long offset, BudgetRecord budgetRecord) {}

  /**
   * Creates an empty account.
   *
   * @param complete whether the reader sees every record of the account
   */
  Account(boolean complete) {
    this.verified = complete;
  }

  /**
   * Applies a record that was read from the log. While the account is incomplete, the record is
   * also buffered, so that it can be reapplied on top of a snapshot.
   */
  BudgetVerdict read(long offset, BudgetRecord budgetRecord) {
    BudgetVerdict verdict = apply(budgetRecord);
    if (!verified) {
      replay.add(new Replay(offset, budgetRecord));
      // The grant of the slice precedes the first offset that was read.
      olderStateMissing |= verdict == BudgetVerdict.UNKNOWN_SLICE;
    }
    return verdict;
  }

  private BudgetVerdict apply(BudgetRecord budgetRecord) {
    if (budgetRecord instanceof BudgetRecord.SliceGranted grant) {
      return grant(grant);
    }
    if (budgetRecord instanceof BudgetRecord.SliceOpened opened) {
      return open(opened);
    }
    if (budgetRecord instanceof BudgetRecord.SliceReleased released) {
      return release(released);
    }
    if (budgetRecord instanceof BudgetRecord.SliceReclaimed reclaimed) {
      return reclaim(reclaimed);
    }
    return BudgetVerdict.NOT_NEEDED;
  }

  private BudgetVerdict grant(BudgetRecord.SliceGranted grant) {
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
    if (carriedMs == Long.MIN_VALUE) {
      carriedMs = grant.timeMs();
    }
    settingsVersion = grant.settingsVersion();
    budget = grant.budgetUnits();
    // Computed as a difference because the sum of two large amounts could overflow.
    if (grant.amountUnits() > budget - committed) {
      return BudgetVerdict.BUDGET_EXCEEDED;
    }
    put(
        new SliceState(
            grant.slice(), grant.vm(), grant.amountUnits(), grant.openedUnits(), SlicePhase.LIVE));
    return BudgetVerdict.ACCEPTED;
  }

  private BudgetVerdict open(BudgetRecord.SliceOpened opened) {
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
  private BudgetVerdict release(BudgetRecord.SliceReleased released) {
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
    finished += released.spentUnits();
    committed += released.spentUnits();
    return BudgetVerdict.ACCEPTED;
  }

  private BudgetVerdict reclaim(BudgetRecord.SliceReclaimed reclaimed) {
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
    committed += next.committedUnits() - (previous == null ? 0 : previous.committedUnits());
    live += liveOf(next) - (previous == null ? 0 : liveOf(previous));
  }

  private static int liveOf(SliceState state) {
    return state.phase() == SlicePhase.LIVE ? 1 : 0;
  }

  /** Replaces the state with that of a snapshot and reapplies the buffered records after it. */
  BudgetVerdict install(BudgetRecord.AccountSnapshot snapshot, long firstOffset) {
    carriedMs = Math.max(carriedMs, snapshot.timeMs());
    if (verified) {
      return BudgetVerdict.NOT_NEEDED;
    }
    if (snapshot.asOfOffset() < firstOffset - 1) {
      // The log no longer retains the records between the snapshot and the first offset read.
      olderStateMissing = true;
      return BudgetVerdict.NOT_NEEDED;
    }
    slices.clear();
    live = 0;
    committed = snapshot.finishedUnits();
    finished = snapshot.finishedUnits();
    budget = snapshot.budgetUnits();
    settingsVersion = snapshot.settingsVersion();
    snapshot.slices().forEach(this::put);
    verified = true;
    olderStateMissing = false;
    for (Replay buffered : replay) {
      if (buffered.offset() > snapshot.asOfOffset()) {
        apply(buffered.budgetRecord());
      }
    }
    replay.clear();
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
        budget,
        settingsVersion,
        finished,
        List.copyOf(slices.values()));
  }

  /**
   * Marks the account as complete once the end of the stream has been read, unless older records
   * expired from the log before a snapshot preserved them.
   */
  void reachedTip() {
    if (olderStateMissing) {
      return;
    }
    verified = true;
    replay.clear();
    replay.trimToSize();
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
    return live;
  }

  SliceState slice(String slice) {
    return slices.get(slice);
  }

  long committed() {
    return committed;
  }

  long carriedMs() {
    return carriedMs;
  }

  boolean known() {
    return verified;
  }
}
