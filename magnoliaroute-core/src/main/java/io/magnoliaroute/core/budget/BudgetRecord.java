package io.magnoliaroute.core.budget;

import io.magnoliaroute.core.model.TeamId;
import io.magnoliaroute.core.model.VmId;
import java.util.List;

/**
 * A record of a {@code budget-<n>} stream. All records of a team are in one stream.
 *
 * <p>Each record carries the settings that its rule needs, so that every reader reaches the same
 * verdict from the stream alone.
 */
public sealed interface BudgetRecord {

  /** Returns the identity of the record, equal for each append of the same record. */
  String recordId();

  /** Returns the team that the record is about. */
  TeamId team();

  /** Returns the period of the account that the record is about. */
  BudgetPeriod period();

  /**
   * Takes a slice of the period's budget for one VM.
   *
   * @param recordId the identity of the record
   * @param team the team
   * @param period the period whose budget is used
   * @param slice the identity of the slice, unique for each grant
   * @param vm the holder
   * @param amountUnits the size of the slice
   * @param openedUnits the part that the holder may spend as soon as it reads the grant back
   * @param budgetUnits the budget of the period that the writer knew
   * @param settingsVersion the version of the team's branch that the budget comes from; a grant
   *     with an older version than an earlier grant of the account is refused
   * @param timeMs when the grant was made; tells how old an account without a snapshot is
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
   * Raises the part of a slice that its holder may spend.
   *
   * @param recordId the identity of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the slice
   * @param openedUnits the new total, not an increment
   */
  record SliceOpened(
      String recordId, TeamId team, BudgetPeriod period, String slice, long openedUnits)
      implements BudgetRecord {}

  /**
   * Ends a slice; only its holder writes this, after it stopped to spend from the slice.
   *
   * @param recordId the identity of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the slice
   * @param spentUnits what calls spent from the slice
   */
  record SliceReleased(
      String recordId, TeamId team, BudgetPeriod period, String slice, long spentUnits)
      implements BudgetRecord {}

  /**
   * Takes back what a slice has not opened; any VM may write this.
   *
   * @param recordId the identity of the record
   * @param team the team
   * @param period the period of the slice
   * @param slice the slice
   */
  record SliceReclaimed(String recordId, TeamId team, BudgetPeriod period, String slice)
      implements BudgetRecord {}

  /**
   * Carries one account forward, so that it outlives the retention of the log.
   *
   * @param recordId the identity of the record
   * @param team the team
   * @param period the period of the account
   * @param asOfOffset the offset of the last record of the stream that the state includes
   * @param timeMs when the record was made
   * @param budgetUnits the budget of the period
   * @param settingsVersion the version of the team's branch that the budget comes from
   * @param finishedUnits the units used by slices that were released
   * @param slices the slices that are live or reclaimed
   */
  record AccountSnapshot(
      String recordId,
      TeamId team,
      BudgetPeriod period,
      long asOfOffset,
      long timeMs,
      long budgetUnits,
      long settingsVersion,
      long finishedUnits,
      List<SliceState> slices)
      implements BudgetRecord {

    /** Copies the slices. */
    public AccountSnapshot {
      slices = List.copyOf(slices);
    }
  }
}
