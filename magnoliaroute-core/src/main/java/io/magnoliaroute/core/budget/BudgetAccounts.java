package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The accounts of one {@code budget-<n>} stream, built by applying its records in log order.
 *
 * <p>Records must be applied in the order of their offsets. A reader that starts after offset 0
 * calls {@link #restartFrom} first, and {@link #markCaughtUp} after it has read to the end of the
 * stream once; until then, accounts are restored from snapshots. Not thread-safe; must be guarded
 * by a lock.
 */
public final class BudgetAccounts {

  /**
   * The number of accounts kept for each team and period length. Older accounts are closed when a
   * record of a later period is applied, so all VMs close them at the same offset. With four
   * accounts, calls that span the end of a period are still settled, and a VM whose clock is one or
   * two periods ahead does not close the current account.
   */
  static final int MAX_OPEN_PERIODS = 4;

  private final Map<TeamId, TreeMap<Long, TreeMap<Long, Account>>> accounts = new HashMap<>();
  private long firstOffset;
  private long lastOffset = -1;
  private boolean caughtUp = true;

  /**
   * Discards all accounts and restarts at the first offset that the log still retains.
   *
   * <p>Also called for a VM that was paused for longer than the retention period. Holders keep the
   * units that were opened for them.
   */
  public void restartFrom(long firstRetainedOffset) {
    accounts.clear();
    firstOffset = firstRetainedOffset;
    lastOffset = firstRetainedOffset - 1;
    caughtUp = firstRetainedOffset <= 0;
  }

  /** Marks the accounts as caught up, after the reader has reached the end of the stream. */
  public void markCaughtUp() {
    caughtUp = true;
    for (Account account : allAccounts()) {
      account.markCaughtUp();
    }
  }

  /** Returns whether verdicts and accounts are reliable. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Applies a record and returns its verdict; a record at an offset already read is ignored. */
  public BudgetVerdict apply(long offset, BudgetRecord budgetRecord) {
    if (offset <= lastOffset) {
      return BudgetVerdict.DUPLICATE;
    }
    lastOffset = offset;
    Account account = accountFor(budgetRecord.team(), budgetRecord.period());
    if (account == null) {
      return BudgetVerdict.PERIOD_CLOSED;
    }
    if (budgetRecord instanceof BudgetRecord.AccountSnapshot snapshot) {
      return account.installSnapshot(snapshot, firstOffset);
    }
    return account.applyLogged(offset, budgetRecord);
  }

  /** Returns the part of the given budget that is not committed to the slices of the period. */
  public long remainingUnits(TeamId team, BudgetPeriod period, long budgetUnits) {
    return findAccount(team, period)
        .map(account -> budgetUnits - account.committedUnits())
        .orElse(budgetUnits);
  }

  /** Returns the units that slices of the period hold or have spent. */
  public long committedUnits(TeamId team, BudgetPeriod period) {
    return findAccount(team, period).map(Account::committedUnits).orElse(0L);
  }

  /** Returns the number of live slices of the account. */
  public int liveCount(TeamId team, BudgetPeriod period) {
    return findAccount(team, period).map(Account::liveCount).orElse(0);
  }

  /** Returns the slice, or empty if it was not granted or its account is closed. */
  public Optional<SliceState> slice(TeamId team, BudgetPeriod period, String slice) {
    return findAccount(team, period).map(account -> account.slice(slice));
  }

  /**
   * Returns whether the state of the account is complete. Grants must not be written until it is.
   */
  public boolean isComplete(TeamId team, BudgetPeriod period) {
    return caughtUp && findAccount(team, period).map(Account::isComplete).orElse(true);
  }

  /** Returns the live slices of all accounts, each with its team and period. */
  public List<LiveSlice> liveSlices() {
    List<LiveSlice> live = new ArrayList<>();
    accounts.forEach(
        (team, byLength) ->
            byLength.forEach(
                (lengthMs, byIndex) ->
                    byIndex.forEach(
                        (index, account) -> {
                          BudgetPeriod period = new BudgetPeriod(index, lengthMs);
                          for (SliceState state : account.liveSlices()) {
                            live.add(new LiveSlice(team, period, state));
                          }
                        })));
    return live;
  }

  /**
   * Returns a snapshot of the account, or empty if the account does not exist or is incomplete.
   *
   * @param recordId the id of the snapshot record
   */
  public Optional<BudgetRecord.AccountSnapshot> snapshot(
      TeamId team, BudgetPeriod period, String recordId, long nowMs) {
    if (!isComplete(team, period)) {
      return Optional.empty();
    }
    return findAccount(team, period)
        .map(account -> account.snapshot(team, period, recordId, lastOffset, nowMs));
  }

  /** Returns the time of the last snapshot of each account. */
  public List<AccountSnapshotTime> snapshotTimes() {
    List<AccountSnapshotTime> snapshotTimes = new ArrayList<>();
    accounts.forEach(
        (team, byLength) ->
            byLength.forEach(
                (lengthMs, byIndex) ->
                    byIndex.forEach(
                        (index, account) ->
                            snapshotTimes.add(
                                new AccountSnapshotTime(
                                    team,
                                    new BudgetPeriod(index, lengthMs),
                                    account.lastSnapshotMs())))));
    return snapshotTimes;
  }

  private Optional<Account> findAccount(TeamId team, BudgetPeriod period) {
    return Optional.ofNullable(accounts.get(team))
        .map(byLength -> byLength.get(period.lengthMs()))
        .map(byIndex -> byIndex.get(period.index()));
  }

  private Account accountFor(TeamId team, BudgetPeriod period) {
    TreeMap<Long, Account> byIndex =
        accounts
            .computeIfAbsent(team, t -> new TreeMap<>())
            .computeIfAbsent(period.lengthMs(), l -> new TreeMap<>());
    Account existing = byIndex.get(period.index());
    if (existing != null) {
      return existing;
    }
    if (!byIndex.isEmpty() && period.index() <= byIndex.lastKey() - MAX_OPEN_PERIODS) {
      return null;
    }
    Account created = new Account(caughtUp);
    byIndex.put(period.index(), created);
    byIndex.headMap(byIndex.lastKey() - MAX_OPEN_PERIODS, true).clear();
    return created;
  }

  private List<Account> allAccounts() {
    List<Account> all = new ArrayList<>();
    for (TreeMap<Long, TreeMap<Long, Account>> byLength : accounts.values()) {
      for (TreeMap<Long, Account> byIndex : byLength.values()) {
        all.addAll(byIndex.values());
      }
    }
    return all;
  }
}
