package io.magnoliaroute.core.gateway;

/** Determines whether the requests of a route may be repeated after a failed attempt. */
public enum RouteKind {
  /** Requests may run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return true;
    }
  },
  /** Requests run at most once for each request id. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return false;
    }
  },
  /** Responses are streams of events, which may be resumed if the route allows it. */
  STREAM {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return resumable;
    }

    @Override
    public boolean isStream() {
      return true;
    }
  };

  /** Returns whether a request that may have run may be retried. */
  public abstract boolean mayRepeat(boolean resumable);

  /** Returns whether the response is a stream of events. */
  public boolean isStream() {
    return false;
  }
}
