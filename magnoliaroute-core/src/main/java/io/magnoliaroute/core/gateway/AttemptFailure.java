package io.magnoliaroute.core.gateway;

/** The way in which an attempt of a request at an endpoint failed. */
public enum AttemptFailure {
  /** No connection was established; the endpoint has not received the request. */
  NOT_CONNECTED(false, true),
  /** The endpoint reported that it did not run the request because it is full. */
  REFUSED_FULL(false, false),
  /** The endpoint reported that it is not the addressed one, which therefore no longer exists. */
  REFUSED_GONE(false, true),
  /** The endpoint is draining; the request was not sent, and running requests continue. */
  LEAVING(false, false),
  /** The endpoint's request limit allows no further request soon; the request was not sent. */
  RATE_LIMITED(false, false),
  /** The connection broke, or the received bytes were not a response to this request. */
  BROKEN(true, false),
  /**
   * The endpoint responded, or may have, with a failure that cannot be read whole: it broke off, or
   * is joined with another response.
   */
  FAILED_INCOMPLETE(true, false),
  /**
   * The path to the endpoint failed; the endpoint is reachable by another path and may still run
   * the request.
   */
  PATH_LOST(true, false),
  /** The endpoint stopped responding and accepts no connections, on any path. */
  UNREACHABLE(true, true);

  private final boolean mayHaveRun;
  private final boolean endpointLost;

  AttemptFailure(boolean mayHaveRun, boolean endpointLost) {
    this.mayHaveRun = mayHaveRun;
    this.endpointLost = endpointLost;
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

  /** Returns whether the endpoint has terminated or is unreachable. */
  public boolean isEndpointLost() {
    return endpointLost;
  }
}
