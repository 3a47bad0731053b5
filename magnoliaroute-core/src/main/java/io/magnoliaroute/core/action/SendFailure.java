package io.magnoliaroute.core.action;

/** The ways in which sending a request to a service can fail. */
public enum SendFailure {
  /** No part of the request was sent. */
  NOT_SENT(true),
  /** The service rejected the request without executing it. */
  REFUSED(true),
  /** The service rejected the request because it had received a higher fencing token. */
  STALE_TOKEN(true),
  /** No response was received; the request may have been executed or may be executed later. */
  LOST(false);

  private final boolean isKnownNotExecuted;

  SendFailure(boolean isKnownNotExecuted) {
    this.isKnownNotExecuted = isKnownNotExecuted;
  }

  /** Returns whether the request was not executed and cannot be executed later. */
  public boolean isKnownNotExecuted() {
    return isKnownNotExecuted;
  }
}
