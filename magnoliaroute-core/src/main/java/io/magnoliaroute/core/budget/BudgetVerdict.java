package io.magnoliaroute.core.budget;

/** What the log order decided about a budget record; equal on every VM. */
public enum BudgetVerdict {
  /** The record took effect. */
  ACCEPTED,
  /** An append of the same record took effect before; nothing changed. */
  DUPLICATE,
  /** The grant would take the period above its budget. */
  BUDGET_EXCEEDED,
  /** The grant used an older version of the team's settings than an earlier grant. */
  STALE_SETTINGS,
  /** The account of the period is closed, because much later periods have accounts. */
  PERIOD_CLOSED,
  /** No such slice was granted. */
  UNKNOWN_SLICE,
  /** The slice is reclaimed or released. */
  SLICE_ENDED,
  /** The amounts contradict the slice, for example more opened than granted. */
  MALFORMED,
  /** A snapshot of an account that this reader knows already; nothing changed. */
  NOT_NEEDED;

  /** Returns whether the record changed the ledger. */
  public boolean accepted() {
    return this == ACCEPTED;
  }
}
