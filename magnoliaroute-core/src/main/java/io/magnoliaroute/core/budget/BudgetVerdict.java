package io.magnoliaroute.core.budget;

/** The result of applying a budget record in log order, which is the same on every VM. */
public enum BudgetVerdict {
  /** The record took effect. */
  ACCEPTED,
  /** An earlier append of the same record took effect; nothing changed. */
  DUPLICATE,
  /** The grant would exceed the budget of the period. */
  BUDGET_EXCEEDED,
  /** The grant is based on an older version of the team's settings than an earlier grant. */
  STALE_SETTINGS,
  /** The account of the period is closed because accounts of much later periods exist. */
  PERIOD_CLOSED,
  /** No such slice was granted. */
  UNKNOWN_SLICE,
  /** The slice has already been reclaimed or released. */
  SLICE_ENDED,
  /** The amounts are inconsistent, for example more units opened than granted. */
  MALFORMED,
  /** The snapshot is of no use to this reader, for example because its account is complete. */
  NOT_NEEDED;

  /** Returns whether the record changed the account. */
  public boolean isAccepted() {
    return this == ACCEPTED;
  }
}
