package io.magnoliaroute.daemon.engine;

/**
 * The failure of a call to a model engine or a plain service.
 *
 * @param kind the stage at which the call failed, which determines whether it may have run
 * @param detail a description of the cause
 */
public record EndpointFailure(Kind kind, String detail) {

  /** The ways in which a call can fail. */
  public enum Kind {
    /** No connection could be opened, so the call was not sent. */
    NOT_SENT,
    /** The engine responded with a status other than 200. */
    REFUSED,
    /** The connection closed early, or the response was incomplete or malformed. */
    BROKEN,
    /** The response, or its next token, did not arrive before the timeout. */
    TIMED_OUT
  }
}
