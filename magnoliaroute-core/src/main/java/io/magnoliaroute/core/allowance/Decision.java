package io.magnoliaroute.core.allowance;

/** What a holder says to a turn. */
public enum Decision {
  /** The turn may run. */
  GRANTED,
  /** The budget does not hold another turn. */
  EXHAUSTED,
  /** The turn may run once a slice has been recorded. */
  WAIT
}
