package io.magnoliaroute.daemon.engine;

/**
 * How a call to an endpoint failed.
 *
 * @param kind what is known of the call
 * @param detail what was seen
 */
public record EngineFailure(Kind kind, String detail) {

  /** What is known of a failed call. */
  public enum Kind {
    /** The endpoint could not be reached, so the call was not sent. */
    NOT_SENT,
    /** The endpoint refused the call by its status. */
    REFUSED,
    /** The connection ended before the answer did. */
    BROKEN,
    /** No answer, or no further token, came in time. */
    TIMED_OUT
  }
}
