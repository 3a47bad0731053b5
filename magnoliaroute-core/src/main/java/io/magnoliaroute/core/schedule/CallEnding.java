package io.magnoliaroute.core.schedule;

/** How the use of a slot ended. */
public enum CallEnding {
  /** The whole answer was received. */
  COMPLETED,
  /** The endpoint failed or refused; the call is forgotten and a retry is offered anew. */
  FAILED,
  /** The caller left or a hedge won; says nothing about the endpoint. */
  CANCELLED,
  /** The stream was cancelled for an urgent call; the call waits again, still accepted. */
  PREEMPTED
}
