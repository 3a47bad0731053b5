package io.magnoliaroute.core.budget;

/** Whether a holder can reserve units for a call now. */
public enum BudgetAvailability {
  /** A reservation succeeds now. */
  READY,
  /** The holder asks the log for a slice; try again after the next records are read. */
  PENDING,
  /** The rest of the period's budget is too small for the call, or other VMs hold it. */
  EXHAUSTED,
  /** The call costs more than the budget of a whole period. */
  NEVER,
  /** The team has no budget in this holder. */
  NO_BUDGET
}
