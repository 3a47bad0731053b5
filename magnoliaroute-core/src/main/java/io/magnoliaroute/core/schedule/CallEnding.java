package io.magnoliaroute.core.schedule;

/** Reason for which a grant ended. */
public enum CallEnding {
  /** The complete response was received. */
  COMPLETED,
  /**
   * The endpoint failed or refused the call. The scheduler drops the call; a retry must be offered
   * as a new call.
   */
  FAILED,
  /**
   * The caller disconnected or the other grant of a hedged call completed first. Counts neither as
   * a success nor as a failure of the endpoint.
   */
  CANCELLED,
  /**
   * The stream was cancelled in favour of an urgent call. The call stays accepted and is queued
   * again.
   */
  PREEMPTED
}
