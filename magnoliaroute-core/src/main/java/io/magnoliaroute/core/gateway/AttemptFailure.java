package io.magnoliaroute.core.gateway;

/** The way in which an attempt of a request at an endpoint failed. */
public enum AttemptFailure {
  /** No connection was established; the endpoint has not received the request. */
  NOT_CONNECTED(false),
  /** The endpoint reported that it did not run the request because it is full. */
  REFUSED_FULL(false),
  /** The endpoint reported that it is not the addressed one, which therefore no longer exists. */
  REFUSED_GONE(false),
  /** The endpoint is draining; the request was not sent, and running requests continue. */
  LEAVING(false),
  /** The endpoint's request limit allows no further request soon; the request was not sent. */
  RATE_LIMITED(false),
  /** The connection broke, or the received bytes were not a response to this request. */
  BROKEN(true),
  /**
   * The endpoint responded, or may have, with a failure that cannot be read whole: it broke off, or
   * is joined with another response.
   */
  FAILED_INCOMPLETE(true),
  /**
   * The path to the endpoint failed; the endpoint is reachable by another path and may still run
   * the request.
   */
  PATH_LOST(true),
  /** The endpoint stopped responding and accepts no connections, on any path. */
  UNREACHABLE(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the endpoint may have started to run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Returns whether the endpoint may have responded with a failure. A success of another run must
   * not replace it.
   */
  public boolean isFinal() {
    return this == FAILED_INCOMPLETE;
  }

  /** Returns whether the connection failed while the endpoint remains reachable by a new one. */
  boolean isConnectionLost() {
    return this == BROKEN || this == PATH_LOST;
  }
}
