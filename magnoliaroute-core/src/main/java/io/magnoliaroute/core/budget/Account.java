package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The account of one team in one period, by log order. */
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

  /** Makes an empty account; it is verified if its reader has seen each record of the account. */
  Account(boolean verified) {
    this.verified = verified;
  }

  /** Applies a record that was read from the log. */
  BudgetVerdict read(long offset, BudgetRecord budgetRecord) {
    BudgetVerdict verdict = apply(budgetRecord);
    if (!verified) {
      replay.add(new Replay(offset, budgetRecord));
      // The grant of the slice was before the first offset read.
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
    // Written as a difference, because the sum of two large amounts could overflow.
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
   * A release after a reclaim is accepted too: only the holder writes it, after it stopped to
   * spend, so the rest of the opened part is safe to return.
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

  /** Takes the state of a snapshot and applies the records after it again. */
  BudgetVerdict install(BudgetRecord.AccountSnapshot snapshot, long firstOffset) {
    carriedMs = Math.max(carriedMs, snapshot.timeMs());
    if (verified) {
      return BudgetVerdict.NOT_NEEDED;
    }
    if (snapshot.asOfOffset() < firstOffset - 1) {
      // Records between the snapshot and the first offset read are lost to this reader.
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
    for (Replay later : replay) {
      if (later.offset() > snapshot.asOfOffset()) {
        apply(later.budgetRecord());
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

  /** Takes the account as complete, unless its older state was not carried forward in time. */
  void reachedTip() {
    if (olderStateMissing) {
      return;
    }
    verified = true;
    replay.clear();
    replay.trimToSize();
  }

  List<SliceState> liveSlices() {
    List<SliceState> found = new ArrayList<>();
    for (SliceState state : slices.values()) {
      if (state.phase() == SlicePhase.LIVE) {
        found.add(state);
      }
    }
    return found;
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
