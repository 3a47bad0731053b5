package io.magnoliaroute.core.budget;

/** Whether a budget holder can currently reserve the units of a call. */
public enum BudgetAvailability {
  /** A reservation would succeed now. */
  READY,
  /** The holder is requesting units through the log; retry after the next records are read. */
  PENDING,
  /** The remaining budget of the period is too small for the call, or is held by other VMs. */
  EXHAUSTED,
  /** The call costs more than the entire budget of a period. */
  NEVER,
  /** This holder has no budget for the team. */
  NO_BUDGET
}
