package io.magnoliaroute.core.gateway;

/** What may be done with a request of a route when an attempt fails. */
public enum RouteKind {
  /** May run any number of times. */
  IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return true;
    }
  },
  /** Runs at most once for each request id. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return false;
    }
  },
  /** Answers with events; may be continued after the last event where the route allows it. */
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

  /** Returns whether a request that may have run may be sent again. */
  public abstract boolean mayRepeat(boolean resumable);

  /** Returns whether the answer is a series of events. */
  public boolean isStream() {
    return false;
  }
}
