package io.magnoliaroute.core.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One holder's view of the budgets of the programs in one partition.
 *
 * <p>A slice counts as spent by everyone but its holder once its record is in the store, whatever
 * becomes of the holder. Records are appended only at the end that the holder has read, so two
 * holders never grant the same tokens, and no turn runs before its slice is recorded. While the
 * store is away, a few turns run from memory, by what other VMs have told of the program; only
 * these may exceed the budget, when the memory is lost in the same outage. Used under one lock or
 * on one event loop.
 */
public final class AllowancePartition {

  /** Turns in the smallest slice: few records for a program, little lost with a holder. */
  static final int SLICE_TURNS = 3;

  /** A large budget is granted in this many slices. */
  static final int SLICES = 8;

  /**
   * Turns that may always run without a record while the store is away. Each data centre that is
   * cut off decides for itself, so more would add up to more than a small budget and one turn.
   */
  static final int OFFLINE_TURNS = 1;

  /** Of a large budget, this part may run without a record while the store is away. */
  static final int OFFLINE_DIVISOR = 2;

  /**
   * Turns that make a budget large. A smaller one is spent within one outage by a program that
   * loops, so that both sides of a cut would add up to more than the budget and one turn.
   */
  static final int LARGE_TURNS = 4;

  /** A program that nobody has used for this long does not come back; the routes keep a minute. */
  static final long RETENTION_MS = 180_000;

  /** Programs in one append; keeps a call far below the store's limit. */
  private static final int MAX_RECORDS = 500;

  private final String holder;
  private final Map<String, Account> accounts = new HashMap<>();
  private boolean loaded;
  private long end;
  private long confirmedAtMs;
  private boolean appending;

  private static final class Account {
    private long budget;
    private long turn;
    private long granted;
    private long mine;
    private long spent;
    private long told;
    private boolean wanted;
    private String granter = "";
    private final Map<String, Long> unrecorded = new HashMap<>();
    private long usedAtMs;
  }

  /**
   * An effect: append the records if the partition ends at the offset.
   *
   * @param expectedEnd the offset
   * @param grants the records
   * @param drops programs whose records are no longer needed
   */
  public record Append(long expectedEnd, List<Grant> grants, List<String> drops) {

    /** Copies the lists. */
    public Append {
      grants = List.copyOf(grants);
      drops = List.copyOf(drops);
    }
  }

  /** Makes a view that has not been loaded; the holder's name is unique for each of its starts. */
  public AllowancePartition(String holder) {
    this.holder = holder;
  }

  /** Returns whether the records have been read. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the offset up to which the records have been read. */
  public long end() {
    return end;
  }

  /** Returns how old the knowledge of other holders' records is. */
  public long ageMs(long nowMs) {
    return nowMs - confirmedAtMs;
  }

  /** Returns whether the program has a record, or has been granted a turn here. */
  public boolean knows(String program) {
    Account account = accounts.get(program);
    return account != null && (account.granted > 0 || account.spent > 0);
  }

  /** Returns the other holder that has the newest slice of the program, if there is one. */
  public Optional<String> granter(String program) {
    Account account = accounts.get(program);
    return account == null || account.granter.isEmpty() || account.granter.equals(holder)
        ? Optional.empty()
        : Optional.of(account.granter);
  }

  /** Returns the name of this view's holder. */
  public String holder() {
    return holder;
  }

  /** Returns whether turns have run, or will run, that no record covers yet. */
  public boolean wantsRecord() {
    return accounts.values().stream().anyMatch(account -> account.wanted || uncovered(account) > 0);
  }

  /** Takes a listing of the newest records. */
  public void load(List<Grant> newest, long newEnd, long nowMs) {
    newest.forEach(grant -> apply(grant, nowMs));
    loaded = true;
    end = Math.max(end, newEnd);
    confirmedAtMs = nowMs;
  }

  /** Takes records that follow the end, of other holders or of this one. */
  public void read(List<Grant> records, long newEnd, long nowMs) {
    records.forEach(grant -> apply(grant, nowMs));
    end = Math.max(end, newEnd);
    confirmedAtMs = nowMs;
    appending = false;
  }

  /**
   * Sets the most that a turn may generate aside.
   *
   * @param budgetTokens what all turns of the program may generate
   * @param turnTokens the most that this turn generates
   */
  public Decision reserve(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = account(program, budgetTokens, turnTokens, nowMs);
    if (account.spent + turnTokens <= account.mine) {
      account.spent += turnTokens;
      account.wanted |= account.mine - account.spent < turnTokens && room(account) > 0;
      return Decision.GRANTED;
    }
    if (account.mine - account.spent + room(account) < turnTokens) {
      return Decision.EXHAUSTED;
    }
    account.wanted = true;
    return Decision.WAIT;
  }

  /**
   * Takes what another holder knows to be used of a program's budget.
   *
   * @param usedTokens what all holders have used as far as that one knows
   * @param unrecordedTokens what that holder has used beyond its slices; it counts until a record
   *     of that holder covers it, also if the holder is gone by then
   */
  public void told(String program, String by, long usedTokens, long unrecordedTokens, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.told = Math.max(account.told, usedTokens);
    account.usedAtMs = nowMs;
    if (unrecordedTokens > 0 && !by.equals(holder)) {
      account.unrecorded.put(by, unrecordedTokens);
    } else {
      account.unrecorded.remove(by);
    }
  }

  /** Returns what this holder has used of a program's budget beyond its slices. */
  public long unrecorded(String program) {
    Account account = accounts.get(program);
    return account == null ? 0 : uncovered(account);
  }

  /** Returns what is known to be used of a program's budget, running turns at their most. */
  public long used(String program) {
    Account account = accounts.get(program);
    return account == null ? 0 : used(account);
  }

  /**
   * Sets the most that a turn may generate aside in the slices that this holder has, for a VM that
   * knows them as spent. They stay with this holder whoever decides now, and whether or not the
   * store can be reached.
   */
  public Decision reserveOwn(String program, long turnTokens, long nowMs) {
    Account account = accounts.get(program);
    if (account == null || account.spent + turnTokens > account.mine) {
      return Decision.EXHAUSTED;
    }
    account.usedAtMs = nowMs;
    account.spent += turnTokens;
    return Decision.GRANTED;
  }

  /** Sets the most that a turn may generate aside while the store is away. */
  public Decision reserveOffline(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = account(program, budgetTokens, turnTokens, nowMs);
    if (used(account) + turnTokens > account.budget) {
      return Decision.EXHAUSTED;
    }
    long uncovered = account.spent + turnTokens - account.mine + unrecordedElsewhere(account);
    if (uncovered > offlineTokens(account, turnTokens)) {
      return Decision.WAIT;
    }
    account.told = used(account) + turnTokens;
    account.spent += turnTokens;
    return Decision.GRANTED;
  }

  /** Gives back what a turn has not handed out. */
  public void settle(String program, long reservedTokens, long handedTokens, long nowMs) {
    Account account = accounts.get(program);
    if (account != null) {
      account.spent = Math.max(0, account.spent - reservedTokens + handedTokens);
      account.told = Math.max(0, account.told - reservedTokens + handedTokens);
      account.usedAtMs = nowMs;
    }
  }

  /** Returns the records to append next, if any; one append is under way at a time. */
  public Optional<Append> nextAppend(long nowMs) {
    if (!loaded || appending) {
      return Optional.empty();
    }
    List<Grant> grants = new ArrayList<>();
    List<String> drops = new ArrayList<>();
    for (Map.Entry<String, Account> each : accounts.entrySet()) {
      Account account = each.getValue();
      if (nowMs - account.usedAtMs >= RETENTION_MS && drops.size() < MAX_RECORDS) {
        drops.add(each.getKey());
        continue;
      }
      // What ran from memory is recorded as it is: a slice would be lost to the one who decides.
      long amount =
          account.wanted ? slice(account) : Math.min(ungranted(account), uncovered(account));
      if (amount > 0 && grants.size() < MAX_RECORDS) {
        grants.add(new Grant(each.getKey(), account.granted + amount, holder));
      }
    }
    if (grants.isEmpty() && drops.size() < MAX_RECORDS) {
      // Programs that ended can wait for an append that is made anyway.
      return Optional.empty();
    }
    appending = true;
    return Optional.of(new Append(end, grants, drops));
  }

  /** Notes that the append under way has been done. */
  public void appended(Append append, long newEnd, long nowMs) {
    appending = false;
    if (newEnd <= end) {
      // A read has taken these records already, and perhaps later ones.
      return;
    }
    for (Grant grant : append.grants()) {
      apply(grant, nowMs);
    }
    append.drops().forEach(accounts::remove);
    end = newEnd;
    confirmedAtMs = nowMs;
  }

  /** Notes that the append under way has certainly not been done and never will be. */
  public void notAppended() {
    appending = false;
  }

  /**
   * Returns records that give back what this holder has not spent, and forgets its slices. Turns
   * that still run keep their reservations.
   */
  public List<Grant> release() {
    List<Grant> grants = new ArrayList<>();
    for (Map.Entry<String, Account> each : accounts.entrySet()) {
      Account account = each.getValue();
      long unspent = account.mine - account.spent;
      account.wanted = false;
      if (unspent > 0) {
        grants.add(new Grant(each.getKey(), account.granted - unspent, holder));
        account.mine -= unspent;
        account.granted -= unspent;
      }
    }
    return grants;
  }

  private void apply(Grant grant, long nowMs) {
    Account account = accounts.computeIfAbsent(grant.program(), name -> new Account());
    if (grant.holder().equals(holder)) {
      account.mine += grant.grantedTokens() - account.granted;
      account.wanted = false;
    }
    account.granted = grant.grantedTokens();
    account.granter = grant.holder();
    account.unrecorded.remove(grant.holder());
    account.usedAtMs = Math.max(account.usedAtMs, nowMs);
  }

  private Account account(String program, long budgetTokens, long turnTokens, long nowMs) {
    Account account = accounts.computeIfAbsent(program, name -> new Account());
    account.budget = account.budget == 0 ? budgetTokens : Math.min(account.budget, budgetTokens);
    account.turn = Math.max(account.turn, turnTokens);
    account.usedAtMs = nowMs;
    return account;
  }

  private static long offlineTokens(Account account, long turnTokens) {
    boolean large = account.budget >= LARGE_TURNS * account.turn;
    long few = OFFLINE_TURNS * turnTokens;
    return large ? Math.max(few, account.budget / OFFLINE_DIVISOR) : few;
  }

  private static long slice(Account account) {
    long usual = Math.max(SLICE_TURNS * account.turn, account.budget / SLICES);
    long own = Math.min(ungranted(account), uncovered(account));
    return Math.max(own, Math.min(room(account), usual));
  }

  private static long uncovered(Account account) {
    return Math.max(0, account.spent - account.mine);
  }

  private static long used(Account account) {
    long known = account.granted - account.mine + account.spent + unrecordedElsewhere(account);
    return Math.max(known, account.told);
  }

  private static long ungranted(Account account) {
    return account.budget - account.granted;
  }

  private static long unrecordedElsewhere(Account account) {
    long sum = 0;
    for (long each : account.unrecorded.values()) {
      sum += each;
    }
    return sum;
  }

  private static long room(Account account) {
    return ungranted(account) - unrecordedElsewhere(account);
  }
}
