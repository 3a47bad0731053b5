package io.magnoliaroute.core.gateway;

/** What follows a send that failed. */
public enum NextStep {
  /** Send it to the same endpoint again on a new connection. */
  SAME_ENDPOINT,
  /** Send it to another endpoint. */
  OTHER_ENDPOINT,
  /** Tell the client that it has not run. */
  ANSWER_NOT_RUN,
  /** Tell the client that it may have run. */
  ANSWER_UNKNOWN
}
