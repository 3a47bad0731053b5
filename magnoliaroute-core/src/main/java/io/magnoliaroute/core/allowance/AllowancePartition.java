package io.magnoliaroute.core.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One holder's view of the token budgets of the programs in one partition.
 *
 * <p>Once the record of a slice is in the store, all other holders count the slice as spent, even
 * if its holder fails. Records are appended only if the partition still ends at the offset up to
 * which the holder has read it, so two holders never grant the same tokens, and no turn runs before
 * its slice is recorded. While the store is unavailable, a limited number of turns run on
 * reservations in memory, based on the usage that other VMs have reported. Only these turns can
 * exceed the budget, namely if that memory is lost in the same outage. Not thread-safe; requires
 * external locking or confinement to one event loop.
 */
public final class AllowancePartition {

  /**
   * Turns in the smallest slice. A compromise between the number of records for each program and
   * the tokens that are lost if a holder fails.
   */
  static final int MIN_SLICE_TURNS = 3;

  /** Number of slices in which a large budget is granted. */
  static final int SLICES_PER_BUDGET = 8;

  /**
   * Turns that may run without a record while the store is unavailable, whatever the budget. Each
   * data centre that is partitioned off decides independently, so a higher limit could exceed a
   * small budget by more than one turn in total.
   */
  static final int OFFLINE_TURNS = 1;

  /**
   * Divisor of a large budget that yields the tokens that may be used without a record while the
   * store is unavailable.
   */
  static final int OFFLINE_BUDGET_DIVISOR = 2;

  /**
   * Minimum number of turns of a large budget. A program in a loop spends a smaller budget within
   * one outage, so both sides of a network partition together would exceed it by more than one
   * turn.
   */
  static final int LARGE_BUDGET_TURNS = 4;

  /**
   * Time without use after which a program is not expected to make another call, so that its record
   * is dropped. Well above the retention of the routes, which is one minute.
   */
  static final long RETENTION_MS = 180_000;

  /** Maximum number of programs in one append; keeps a call far below the store's limit. */
  private static final int MAX_RECORDS_PER_APPEND = 500;

  private static final long NO_RELEASE = -1;

  private final String holder;
  private final Map<String, Account> accounts = new HashMap<>();
  private boolean loaded;
  private long end;

  /** The offset at which a release takes effect that may still do so. */
  private long releaseOffset = NO_RELEASE;

  private boolean earlierReleaseInDoubt;

  private long confirmedAtMs;
  private boolean appending;

  /**
   * A conditional append: the caller appends the records only if the partition ends at the expected
   * offset.
   *
   * @param expectedEnd the expected end offset of the partition
   * @param grants the records to append
   * @param expiredPrograms programs whose records are no longer needed
   */
  public record Append(long expectedEnd, List<Grant> grants, List<String> expiredPrograms) {

    /** Makes defensive copies of the lists. */
    public Append {
      grants = List.copyOf(grants);
      expiredPrograms = List.copyOf(expiredPrograms);
    }
  }

  /**
   * Creates a view that has not been loaded.
   *
   * @param holder the name of the holder, unique for each of its starts
   */
  public AllowancePartition(String holder) {
    this.holder = holder;
  }

  /** Returns whether an append is in progress. */
  public boolean isAppending() {
    return appending;
  }

  /** Returns whether the view has been loaded from the store. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset up to which the records have been read. */
  public long end() {
    return end;
  }

  /** Returns the time since the view was last known to be up to date with the store. */
  public long ageMs(long nowMs) {
    return nowMs - confirmedAtMs;
  }

  /** Returns whether the program has a record or has reserved tokens in this view. */
  public boolean isKnown(String program) {
    Account account = accounts.get(program);
    return account != null && (account.granted > 0 || account.ownUsed > 0);
  }

  /**
   * Returns the other holder of the program's most recent slice that may have unspent tokens in it,
   * or empty if there is none.
   */
  public Optional<String> otherSliceHolder(String program) {
    Account account = accounts.get(program);
    return account == null || account.otherHolder.isEmpty()
        ? Optional.empty()
        : Optional.of(account.otherHolder);
  }

  /** Returns the name of this view's holder. */
  public String holder() {
    return holder;
  }

  /** Returns whether any program needs a further record for turns that have run or are waiting. */
  public boolean needsRecord() {
    return accounts.values().stream()
        .anyMatch(
            account ->
                account.sliceNeeded
                    || account.ownUnrecorded() > 0
                    || !account.endedHolders.isEmpty());
  }

  /** Loads the view from a listing of the most recent record of each program. */
  public void load(List<Grant> newest, long newEnd, long nowMs) {
    newest.forEach(grant -> apply(grant, nowMs));
    loaded = true;
    end = Math.max(end, newEnd);
    confirmedAtMs = nowMs;
  }

  /**
   * Applies records that follow the end offset, written by this or other holders, and ends the
   * append in progress.
   */
  public void applyRecords(List<Grant> records, long newEnd, long nowMs) {
    records.forEach(grant -> apply(grant, nowMs));
    advanceTo(newEnd, nowMs);
    appending = false;
  }

  // A release is appended at one offset alone, so it cannot take effect beyond that.
  private void advanceTo(long newEnd, long nowMs) {
    end = Math.max(end, newEnd);
    confirmedAtMs = nowMs;
    if (end > releaseOffset) {
      concludeRelease();
    }
  }

  private void concludeRelease() {
    if (releaseOffset != NO_RELEASE) {
      accounts.values().forEach(account -> account.releasing = 0);
      releaseOffset = NO_RELEASE;
      earlierReleaseInDoubt = false;
    }
  }

  /**
   * Reserves the maximum number of tokens that a turn may generate.
   *
   * @param budgetTokens maximum number of tokens that all turns of the program may generate
   * @param turnTokens maximum number of tokens that this turn may generate
   */
  public ReservationResult reserve(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = account(program, budgetTokens, turnTokens, nowMs);
    if (account.reserveOwn(turnTokens, nowMs)) {
      account.sliceNeeded |=
          account.ownGranted - account.ownUsed < turnTokens && account.availableTokens() > 0;
      return ReservationResult.GRANTED;
    }
    if (account.ownGranted - account.ownUsed + account.availableTokens() < turnTokens) {
      return ReservationResult.EXHAUSTED;
    }
    account.sliceNeeded = true;
    return ReservationResult.WAIT;
  }

  /**
   * Applies another holder's report of the tokens used by a program.
   *
   * @param reporter the name of the reporting holder
   * @param usedTokens tokens used by all holders, as far as the reporting holder knows
   * @param unrecordedTokens tokens that the reporting holder has used beyond its slices; they count
   *     until that holder writes a record, even if it fails before
   */
  public void applyReportedUsage(
      String program, String reporter, long usedTokens, long unrecordedTokens, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.reportedUsed = Math.max(account.reportedUsed, usedTokens);
    account.lastUsedAtMs = nowMs;
    if (unrecordedTokens > 0 && !reporter.equals(holder)) {
      account.unrecordedByHolder.put(reporter, new ReportedUse(usedTokens, unrecordedTokens));
    } else {
      account.unrecordedByHolder.remove(reporter);
      account.endedHolders.remove(reporter);
    }
  }

  /**
   * Marks the use that ended holders have not recorded, so that the next append records it in their
   * names. All other holders stop counting it separately once they read such a record; a holder
   * that still runs, contrary to the predicate, takes the record for its own.
   *
   * @param hasEnded whether the holder of a name has ended
   */
  public void takeOverUse(Predicate<String> hasEnded) {
    for (Account account : accounts.values()) {
      for (String each : account.unrecordedByHolder.keySet()) {
        if (hasEnded.test(each)) {
          account.endedHolders.add(each);
        }
      }
    }
  }

  /**
   * Counts use of which no record and no holder is known as this holder's own.
   *
   * @param usedTokens the tokens used by all holders
   */
  public void adoptUse(String program, long usedTokens, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.lastUsedAtMs = nowMs;
    account.ownUsed += Math.max(0, usedTokens - account.knownUse());
  }

  /**
   * Counts the use that all holders together may have forgotten because they ended while the store
   * was unavailable. The rule for budgets tolerates one turn, so that small budgets stay whole.
   */
  public void assumeForgottenUse(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = account(program, budgetTokens, turnTokens, nowMs);
    if (account.isLarge()) {
      long forgotten = Math.min(account.ungranted(), account.offlineLimit(turnTokens, 1));
      account.ownUsed += Math.max(0, forgotten);
    }
  }

  /**
   * Applies the use of other holders that further VMs remember, unless the newest record covers it.
   *
   * @param useByHolder for each holder, what it reported last
   */
  public void applyRecoveredUse(String program, Map<String, ReportedUse> useByHolder, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.lastUsedAtMs = nowMs;
    useByHolder.forEach(
        (reporter, use) -> {
          account.reportedUsed = Math.max(account.reportedUsed, use.usedTokens());
          boolean isRecorded =
              account.lastGranter.equals(reporter) && use.isCoveredBy(account.granted);
          if (!isRecorded && !reporter.equals(holder)) {
            account.unrecordedByHolder.put(reporter, use);
          }
        });
  }

  /** Returns the use of each holder that no record covers, by the name of the holder. */
  public Map<String, Long> unrecordedUse(String program) {
    Account account = accounts.get(program);
    if (account == null) {
      return Map.of();
    }
    Map<String, Long> unrecorded = new HashMap<>();
    account.unrecordedByHolder.forEach((name, use) -> unrecorded.put(name, use.unrecordedTokens()));
    if (account.ownUnrecorded() > 0) {
      unrecorded.put(holder, account.ownUnrecorded());
    }
    return Map.copyOf(unrecorded);
  }

  /** Returns the tokens that this holder has used for a program beyond its recorded slices. */
  public long unrecordedTokens(String program) {
    Account account = accounts.get(program);
    return account == null ? 0 : account.ownUnrecorded();
  }

  /** Returns the tokens known to be used by a program; running turns count with their maximum. */
  public long usedTokens(String program) {
    Account account = accounts.get(program);
    return account == null ? 0 : account.usedTokens();
  }

  /**
   * Reserves the maximum number of tokens of a turn from the slices that this holder already owns,
   * on behalf of a VM whose view counts these slices as spent. The slices stay with this holder
   * regardless of which holder decides now and of whether the store is available. Waits while the
   * slices are being released.
   */
  public ReservationResult reserveFromOwnSlices(String program, long turnTokens, long nowMs) {
    Account account = accounts.get(program);
    if (account == null || account.ownUsed + turnTokens > account.ownGranted) {
      return ReservationResult.EXHAUSTED;
    }
    account.lastUsedAtMs = nowMs;
    return account.reserveOwn(turnTokens, nowMs)
        ? ReservationResult.GRANTED
        : ReservationResult.WAIT;
  }

  /** Reserves the maximum number of tokens of a turn while the store is unavailable. */
  public ReservationResult reserveOffline(
      String program, long budgetTokens, long turnTokens, long nowMs) {
    return reserveOffline(program, budgetTokens, turnTokens, 1, nowMs);
  }

  /**
   * Reserves the maximum number of tokens of a turn while the store is unavailable.
   *
   * @param deciders number of holders that may decide at the same time without knowing of each
   *     other: one more than the data centres that cannot be reached
   */
  public ReservationResult reserveOffline(
      String program, long budgetTokens, long turnTokens, int deciders, long nowMs) {
    Account account = account(program, budgetTokens, turnTokens, nowMs);
    if (account.usedTokens() + turnTokens > account.budget) {
      return ReservationResult.EXHAUSTED;
    }
    long ownSlices = account.ownGranted - account.releasing;
    long unrecorded = account.ownUsed + turnTokens - ownSlices + account.unrecordedByOthers();
    if (unrecorded > account.offlineLimit(turnTokens, deciders)) {
      return ReservationResult.WAIT;
    }
    account.reportedUsed = account.usedTokens() + turnTokens;
    account.ownUsed += turnTokens;
    return ReservationResult.GRANTED;
  }

  /**
   * Replaces the reservation of a completed turn by the tokens that it delivered to the client.
   *
   * @param reservedTokens the tokens that were reserved for the turn
   * @param deliveredTokens the tokens that the turn delivered
   */
  public void settle(String program, long reservedTokens, long deliveredTokens, long nowMs) {
    Account account = accounts.get(program);
    if (account != null) {
      account.ownUsed = Math.max(0, account.ownUsed - reservedTokens + deliveredTokens);
      account.reportedUsed = Math.max(0, account.reportedUsed - reservedTokens + deliveredTokens);
      account.lastUsedAtMs = nowMs;
    }
  }

  /**
   * Returns the next append and marks it as in progress, or returns empty if none is needed, the
   * view is not loaded or another append is in progress.
   */
  public Optional<Append> nextAppend(long nowMs) {
    if (!loaded || appending) {
      return Optional.empty();
    }
    List<Grant> grants = new ArrayList<>();
    List<String> expiredPrograms = new ArrayList<>();
    for (Map.Entry<String, Account> each : accounts.entrySet()) {
      Account account = each.getValue();
      if (nowMs - account.lastUsedAtMs >= RETENTION_MS
          && expiredPrograms.size() < MAX_RECORDS_PER_APPEND) {
        expiredPrograms.add(each.getKey());
        continue;
      }
      // Offline use is recorded with its exact amount. The rest of a larger slice would not be
      // available to the holder that decides now.
      long amount =
          account.sliceNeeded
              ? account.nextSliceTokens()
              : Math.min(account.ungranted(), account.ownUnrecorded());
      if (grants.size() < MAX_RECORDS_PER_APPEND) {
        long granted = addTakenOverUse(each.getKey(), account, grants);
        if (amount > 0) {
          grants.add(new Grant(each.getKey(), granted + amount, holder));
        }
      }
    }
    if (grants.isEmpty() && expiredPrograms.size() < MAX_RECORDS_PER_APPEND) {
      // Expired programs alone cause an append only once they fill one; otherwise they are dropped
      // along with the next grants.
      return Optional.empty();
    }
    appending = true;
    return Optional.of(new Append(end, grants, expiredPrograms));
  }

  private static long addTakenOverUse(String program, Account account, List<Grant> grants) {
    long granted = account.granted;
    for (String ended : account.endedHolders) {
      granted += account.unrecordedByHolder.get(ended).unrecordedTokens();
      grants.add(new Grant(program, granted, ended));
    }
    return granted;
  }

  /** Completes the append in progress after it succeeded. */
  public void appendSucceeded(Append append, long newEnd, long nowMs) {
    appending = false;
    if (newEnd <= end) {
      // These records, and possibly later ones, have already been applied by a read.
      return;
    }
    for (Grant grant : append.grants()) {
      apply(grant, nowMs);
    }
    append.expiredPrograms().forEach(accounts::remove);
    advanceTo(newEnd, nowMs);
  }

  /**
   * Abandons the append in progress. It must be certain that it did not and will not happen, unless
   * it grants slices to this holder alone.
   */
  public void appendFailed() {
    appending = false;
  }

  /** Abandons the release in progress; it must be certain that it did not and will not happen. */
  public void releaseFailed() {
    appending = false;
    if (!earlierReleaseInDoubt) {
      concludeRelease();
    }
  }

  /**
   * Returns the append that credits the unspent part of this holder's slices to the budgets again,
   * and marks it as in progress; empty if there is none, the view is not loaded or another append
   * is in progress. The tokens cannot be reserved until the outcome of the append is known. Running
   * turns keep their reservations.
   *
   * @param idleMs leaves out programs for which tokens were reserved from own slices within this
   *     time
   */
  public Optional<Append> nextRelease(long idleMs, long nowMs) {
    if (!loaded || appending) {
      return Optional.empty();
    }
    List<Grant> grants = new ArrayList<>();
    for (Map.Entry<String, Account> each : accounts.entrySet()) {
      Account account = each.getValue();
      boolean isIdle = nowMs - account.ownReservedAtMs >= idleMs;
      if (isIdle && account.unspentTokens() > 0 && grants.size() < MAX_RECORDS_PER_APPEND) {
        grants.add(beginRelease(each.getKey(), account));
      }
    }
    return toRelease(grants);
  }

  /** Returns the next release as above, of one program's slices. */
  public Optional<Append> nextRelease(String program) {
    Account account = accounts.get(program);
    if (!loaded || appending || account == null || account.unspentTokens() <= 0) {
      return Optional.empty();
    }
    return toRelease(List.of(beginRelease(program, account)));
  }

  private Grant beginRelease(String program, Account account) {
    account.releasing = account.unspentTokens();
    account.sliceNeeded = false;
    return new Grant(program, account.granted - account.releasing, holder);
  }

  private Optional<Append> toRelease(List<Grant> grants) {
    if (grants.isEmpty()) {
      return Optional.empty();
    }
    appending = true;
    earlierReleaseInDoubt = releaseOffset != NO_RELEASE;
    releaseOffset = end;
    return Optional.of(new Append(end, grants, List.of()));
  }

  /** Returns the tokens of this holder's slices that no turn has used or reserved. */
  public long unspentTokens(String program) {
    Account account = accounts.get(program);
    return account == null ? 0 : Math.max(0, account.unspentTokens());
  }

  private void apply(Grant grant, long nowMs) {
    Account account = accounts.computeIfAbsent(grant.program(), name -> new Account());
    if (grant.holder().equals(holder)) {
      account.ownGranted += grant.grantedTokens() - account.granted;
      account.sliceNeeded = false;
    }
    if (!grant.holder().equals(holder)) {
      account.otherHolder = grant.grantedTokens() < account.granted ? "" : grant.holder();
    }
    account.granted = grant.grantedTokens();
    account.lastGranter = grant.holder();
    // A record that is older than the holder's last report does not cover it.
    ReportedUse reported = account.unrecordedByHolder.get(grant.holder());
    if (reported != null && reported.isCoveredBy(grant.grantedTokens())) {
      account.unrecordedByHolder.remove(grant.holder());
      account.endedHolders.remove(grant.holder());
    }
    account.lastUsedAtMs = Math.max(account.lastUsedAtMs, nowMs);
  }

  private Account account(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.budget = account.budget == 0 ? budgetTokens : Math.min(account.budget, budgetTokens);
    account.maxTurnTokens = Math.max(account.maxTurnTokens, turnTokens);
    account.lastUsedAtMs = nowMs;
    return account;
  }
}
