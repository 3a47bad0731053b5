package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The accounts of one {@code budget-<n>} stream by log order.
 *
 * <p>Apply the records in the order of their offsets. A reader that starts after offset 0 calls
 * {@link #readFrom} first and {@link #reachedTip} when it has read up to the end of the stream
 * once; until then it takes accounts over from snapshots. Not thread-safe; keep it in a shard.
 */
public final class BudgetLedger {

  /**
   * Accounts kept for each team and period length; older accounts are closed by log order. Four, so
   * that calls which straddle the end of a period are still settled and a VM whose clock is one or
   * two periods ahead does not close the current account.
   */
  static final int OPEN_PERIODS = 4;

  private final Map<TeamId, TreeMap<Long, TreeMap<Long, Account>>> accounts = new HashMap<>();
  private long firstOffset;
  private long lastOffset = -1;
  private boolean atTip = true;

  /**
   * Begins to read the stream from an offset; the log no longer keeps the records before it.
   *
   * <p>A VM that was paused for longer than the retention calls this again. Holders keep what was
   * opened for them.
   */
  public void readFrom(long firstRetainedOffset) {
    accounts.clear();
    firstOffset = firstRetainedOffset;
    lastOffset = firstRetainedOffset - 1;
    atTip = firstRetainedOffset <= 0;
  }

  /** Says that the reader has read to the end of the stream once. */
  public void reachedTip() {
    atTip = true;
    for (Account account : allAccounts()) {
      account.reachedTip();
    }
  }

  /** Returns whether verdicts and accounts are reliable. */
  public boolean caughtUp() {
    return atTip;
  }

  /** Applies one record and returns the verdict; a record at an offset already read is ignored. */
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
      return account.install(snapshot, firstOffset);
    }
    return account.read(offset, budgetRecord);
  }

  /** Returns the units that no slice holds, by the budget of the account's last grant. */
  public long remainingUnits(TeamId team, BudgetPeriod period, long budgetUnits) {
    return find(team, period).map(account -> budgetUnits - account.committed()).orElse(budgetUnits);
  }

  /** Returns the units that slices of the period hold or have used. */
  public long committedUnits(TeamId team, BudgetPeriod period) {
    return find(team, period).map(Account::committed).orElse(0L);
  }

  /** Returns the number of live slices of the account. */
  public int liveCount(TeamId team, BudgetPeriod period) {
    return find(team, period).map(Account::liveCount).orElse(0);
  }

  /** Returns the slice, if its account is open and it was granted. */
  public Optional<SliceState> slice(TeamId team, BudgetPeriod period, String slice) {
    return find(team, period).map(account -> account.slice(slice));
  }

  /** Returns whether the account is known in full; grants must not be written before that. */
  public boolean known(TeamId team, BudgetPeriod period) {
    return atTip && find(team, period).map(Account::known).orElse(true);
  }

  /** Returns the live slices of every account with the records that would reclaim them. */
  public List<HeldSlice> liveSlices() {
    List<HeldSlice> live = new ArrayList<>();
    accounts.forEach(
        (team, byLength) ->
            byLength.forEach(
                (lengthMs, byIndex) ->
                    byIndex.forEach(
                        (index, account) -> {
                          BudgetPeriod period = new BudgetPeriod(index, lengthMs);
                          for (SliceState state : account.liveSlices()) {
                            live.add(new HeldSlice(team, period, state));
                          }
                        })));
    return live;
  }

  /**
   * Returns a snapshot of the account, if there is one that is known in full.
   *
   * @param recordId the identity of the new record
   */
  public Optional<BudgetRecord.AccountSnapshot> snapshot(
      TeamId team, BudgetPeriod period, String recordId, long nowMs) {
    if (!known(team, period)) {
      return Optional.empty();
    }
    return find(team, period)
        .map(account -> account.snapshot(team, period, recordId, lastOffset, nowMs));
  }

  /** Returns the teams and periods with an account, with the time of the last snapshot read. */
  public List<AccountAge> accountAges() {
    List<AccountAge> ages = new ArrayList<>();
    accounts.forEach(
        (team, byLength) ->
            byLength.forEach(
                (lengthMs, byIndex) ->
                    byIndex.forEach(
                        (index, account) ->
                            ages.add(
                                new AccountAge(
                                    team,
                                    new BudgetPeriod(index, lengthMs),
                                    account.carriedMs())))));
    return ages;
  }

  private Optional<Account> find(TeamId team, BudgetPeriod period) {
    return Optional.ofNullable(accounts.get(team))
        .map(byLength -> byLength.get(period.lengthMs()))
        .map(byIndex -> byIndex.get(period.index()));
  }

  private Account accountFor(TeamId team, BudgetPeriod period) {
    TreeMap<Long, Account> byIndex =
        accounts
            .computeIfAbsent(team, t -> new TreeMap<>())
            .computeIfAbsent(period.lengthMs(), l -> new TreeMap<>());
    Account known = byIndex.get(period.index());
    if (known != null) {
      return known;
    }
    if (!byIndex.isEmpty() && period.index() <= byIndex.lastKey() - OPEN_PERIODS) {
      return null;
    }
    Account made = new Account(atTip);
    byIndex.put(period.index(), made);
    byIndex.headMap(byIndex.lastKey() - OPEN_PERIODS, true).clear();
    return made;
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
