package io.magnoliaroute.core.action;

/** How a request to a service failed. */
public enum SendFailure {
  /** No byte of the request left the VM. */
  NOT_SENT(true),
  /** The service said that it did not run the request. */
  REFUSED(true),
  /** The service has seen a higher fencing token and did not run the request. */
  STALE_TOKEN(true),
  /** No answer came; the request may have run or may run later. */
  LOST(false);

  private final boolean didNotRun;

  SendFailure(boolean didNotRun) {
    this.didNotRun = didNotRun;
  }

  /** Returns whether the request did not run and cannot run later. */
  public boolean didNotRun() {
    return didNotRun;
  }
}
