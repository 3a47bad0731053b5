package io.magnoliaroute.core.gateway;

/** The action that follows a failed attempt. */
public enum RetryAction {
  /** Retry at the same endpoint on a new connection. */
  SAME_ENDPOINT,
  /** Retry at another endpoint. */
  OTHER_ENDPOINT,
  /** Respond to the client that the request has not run. */
  ANSWER_NOT_RUN,
  /** Respond to the client that the request may have run. */
  ANSWER_UNKNOWN
}
