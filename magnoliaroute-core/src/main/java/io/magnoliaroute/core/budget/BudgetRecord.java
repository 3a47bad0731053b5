package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;

/**
 * A record of a {@code budget-<n>} stream. All records of a team are in the same stream.
 *
 * <p>Each record carries the settings needed to validate it, so that every reader derives the same
 * verdict from the stream alone.
 */
public sealed interface BudgetRecord {

  /** Returns the id of the record; repeated appends of a record have the same id. */
  String recordId();

  /** Returns the team that the record applies to. */
  TeamId team();

  /** Returns the period of the account that the record applies to. */
  BudgetPeriod period();

  /**
   * Grants a slice of the period's budget to a VM.
   *
   * @param recordId the id of the record
   * @param team the team
   * @param period the period whose budget is used
   * @param slice the id of the slice, unique for each grant
   * @param vm the VM that holds the slice
   * @param amountUnits the size of the slice
   * @param openedUnits the part that the holder may spend once it has read the grant back
   * @param budgetUnits the budget of the period as known to the writer
   * @param settingsVersion the version of the team's settings branch that defines the budget; a
   *     grant with a lower version than an earlier grant of the account is refused
   * @param timeMs the time of the grant, from which the age of an account without a snapshot is
   *     computed
   */
  record SliceGranted(
      String recordId,
      TeamId team,
      BudgetPeriod period,
      String slice,
      VmId vm,
      long amountUnits,
      long openedUnits,
      long budgetUnits,
      long settingsVersion,
      long timeMs)
      implements BudgetRecord {}

  /**
   * Increases the part of a slice that its holder may spend.
   *
   * @param recordId the id of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the id of the slice
   * @param openedUnits the new total, not an increment
   */
  record SliceOpened(
      String recordId, TeamId team, BudgetPeriod period, String slice, long openedUnits)
      implements BudgetRecord {}

  /**
   * Ends a slice and returns its unspent units. Written only by the holder, after it has stopped
   * spending from the slice.
   *
   * @param recordId the id of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the id of the slice
   * @param spentUnits the units that calls spent from the slice
   */
  record SliceReleased(
      String recordId, TeamId team, BudgetPeriod period, String slice, long spentUnits)
      implements BudgetRecord {}

  /**
   * Returns the unopened units of a slice to the budget. May be written by any VM.
   *
   * @param recordId the id of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the id of the slice
   */
  record SliceReclaimed(String recordId, TeamId team, BudgetPeriod period, String slice)
      implements BudgetRecord {}

  /**
   * Holds the state of an account, so that the account outlasts the retention period of the log.
   *
   * @param recordId the id of the record
   * @param team the team
   * @param period the period of the account
   * @param asOfOffset the offset of the last record of the stream that the state includes
   * @param timeMs the time of the snapshot
   * @param budgetUnits the budget of the period
   * @param settingsVersion the version of the team's settings branch that defines the budget
   * @param releasedSpentUnits the units spent from slices that have been released
   * @param slices the slices of the account
   */
  record AccountSnapshot(
      String recordId,
      TeamId team,
      BudgetPeriod period,
      long asOfOffset,
      long timeMs,
      long budgetUnits,
      long settingsVersion,
      long releasedSpentUnits,
      List<SliceState> slices)
      implements BudgetRecord {

    /** Makes a defensive copy of the slices. */
    public AccountSnapshot {
      slices = List.copyOf(slices);
    }
  }
}
