package io.magnoliaroute.core.allowance;

/** The result of a request to reserve tokens for a turn. */
public enum ReservationResult {
  /** The tokens are reserved and the turn may run. */
  GRANTED,
  /** The remaining budget is too small for the turn. */
  EXHAUSTED,
  /** The turn may run as soon as a further slice has been recorded in the store. */
  WAIT
}
